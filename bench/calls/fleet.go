package calls

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	token     = "bench"
	readyWait = 30 * time.Second
	// clockTicks is the unit of processor time in /proc, per second, on every Linux port that Go supports.
	clockTicks = 100
)

// fleet is a set of processes of the project's own programs, found beside the bench program.
type fleet struct {
	folder string
	procs  []*exec.Cmd
}

func newFleet() (*fleet, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return &fleet{folder: filepath.Dir(self)}, nil
}

// port returns a free loopback address.
func (f *fleet) port() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (f *fleet) start(program string, args ...string) (*exec.Cmd, error) {
	c := exec.Command(filepath.Join(f.folder, program), args...)
	if err := c.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w; run make build", program, err)
	}
	f.procs = append(f.procs, c)
	return c, nil
}

// stop ends all processes, the last one started first.
func (f *fleet) stop() {
	for i := len(f.procs) - 1; i >= 0; i-- {
		_ = f.procs[i].Process.Signal(syscall.SIGTERM)
	}
	for _, p := range f.procs {
		_ = p.Wait()
	}
}

// retry runs a program until it succeeds.
func (f *fleet) retry(program string, args ...string) error {
	var failure error
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if _, failure = f.run(program, args...); failure == nil {
			return nil
		}
	}
	return failure
}

// run runs a program to its end and returns its output.
func (f *fleet) run(program string, args ...string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	return exec.CommandContext(ctx, filepath.Join(f.folder, program), args...).Output()
}

// await waits until a GET of the URL answers 200.
func await(url string) error {
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := http.Get(url)
		if err != nil {
			continue
		}
		r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("no answer from %s", url)
}

// usage returns the processor time and the resident memory of a process.
func usage(p *exec.Cmd) (cpu time.Duration, memory int64, err error) {
	pid := strconv.Itoa(p.Process.Pid)
	stat, err := os.ReadFile("/proc/" + pid + "/stat")
	if err != nil {
		return 0, 0, err
	}
	// The second field is the program's name in parentheses and may hold blanks.
	words := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	ticks := int64(0)
	for _, i := range []int{11, 12} {
		n, err := strconv.ParseInt(words[i], 10, 64)
		if err != nil {
			return 0, 0, err
		}
		ticks += n
	}
	pages, err := strconv.ParseInt(words[21], 10, 64)
	if err != nil {
		return 0, 0, err
	}
	return time.Duration(ticks) * time.Second / clockTicks, pages * int64(os.Getpagesize()), nil
}
