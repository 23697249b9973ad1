package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what happens in a run, with the seconds since its start.
type record struct {
	mutex sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

func (r *record) note(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.out.Flush()
	r.file.Close()
}
