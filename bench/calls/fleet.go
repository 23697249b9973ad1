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
	token        = "bench"
	readyTimeout = 30 * time.Second
	// clockTicksPerSecond is the resolution of processor times in /proc on every Linux port that Go supports.
	clockTicksPerSecond = 100
)

// processes runs the project's programs from the directory of the bench program.
type processes struct {
	directory string
	commands  []*exec.Cmd
}

func newProcesses() (*processes, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return &processes{directory: filepath.Dir(self)}, nil
}

// freeAddress returns a loopback address with an unused port.
func (f *processes) freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (f *processes) start(program string, args ...string) (*exec.Cmd, error) {
	c := exec.Command(filepath.Join(f.directory, program), args...)
	if err := c.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w; run make build", program, err)
	}
	f.commands = append(f.commands, c)
	return c, nil
}

// stop terminates all processes in reverse order of their start and waits for them.
func (f *processes) stop() {
	for i := len(f.commands) - 1; i >= 0; i-- {
		_ = f.commands[i].Process.Signal(syscall.SIGTERM)
	}
	for _, p := range f.commands {
		_ = p.Wait()
	}
}

// retry runs a program until it succeeds or readyTimeout has passed.
func (f *processes) retry(program string, args ...string) error {
	var lastErr error
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if _, lastErr = f.run(program, args...); lastErr == nil {
			return nil
		}
	}
	return lastErr
}

// run runs a program to completion and returns its output.
func (f *processes) run(program string, args ...string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	return exec.CommandContext(ctx, filepath.Join(f.directory, program), args...).Output()
}

// waitReady waits until a GET of the URL returns status 200.
func waitReady(url string) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
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

// processUsage returns the processor time and the resident memory of a process.
func processUsage(p *exec.Cmd) (cpu time.Duration, memory int64, err error) {
	pid := strconv.Itoa(p.Process.Pid)
	stat, err := os.ReadFile("/proc/" + pid + "/stat")
	if err != nil {
		return 0, 0, err
	}
	// The second field is the program's name in parentheses and may contain spaces.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	ticks := int64(0)
	for _, i := range []int{11, 12} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, 0, err
		}
		ticks += n
	}
	pages, err := strconv.ParseInt(fields[21], 10, 64)
	if err != nil {
		return 0, 0, err
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond, pages * int64(os.Getpagesize()), nil
}
