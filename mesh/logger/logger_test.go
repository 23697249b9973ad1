package logger

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

// blocked is an output that nobody reads until it is released.
type blocked struct {
	release chan struct{}
	mutex   sync.Mutex
	buffer  bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(p)
}

// TestBlockedOutput guards against requests that wait for the reader of a log: far more lines than fit are logged while
// the output blocks, warnings outlive plain lines, and the number of lost lines is told.
func TestBlockedOutput(t *testing.T) {
	out := &blocked{release: make(chan struct{})}
	l := New(out, slog.LevelInfo)
	log := slog.New(l)
	for range 3 * plainQueue {
		log.Info("plain")
	}
	for range 100 {
		log.Warn("urgent")
	}
	close(out.release)
	l.Close()
	out.mutex.Lock()
	defer out.mutex.Unlock()
	text := out.buffer.String()
	if n := strings.Count(text, "urgent"); n != 100 {
		t.Errorf("%d of 100 warnings are written", n)
	}
	if n := strings.Count(text, `"plain"`); n > plainQueue+1 || n < plainQueue-1 {
		t.Errorf("%d plain lines are written, %d fit", n, plainQueue)
	}
	if !strings.Contains(text, "log lines dropped") {
		t.Error("the lost lines are not told")
	}
}

// TestLines guards against lines that are not JSON and attributes that get lost in derived loggers.
func TestLines(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, slog.LevelInfo)
	log := slog.New(l).With("program", "p").WithGroup("g")
	log.Info("one", "a", 1)
	log.Debug("hidden")
	if l.Enabled(context.Background(), slog.LevelDebug) {
		t.Error("debug lines are enabled")
	}
	l.Close()
	var line struct {
		Time    time.Time
		Level   string
		Msg     string
		Program string
		G       struct{ A int }
	}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatalf("%v in %q", err, out.String())
	}
	if line.Msg != "one" || line.Program != "p" || line.G.A != 1 {
		t.Errorf("the line is %q", out.String())
	}
}

// BenchmarkHandle measures one line of a request.
func BenchmarkHandle(b *testing.B) {
	l := New(&bytes.Buffer{}, slog.LevelInfo)
	defer l.Close()
	log := slog.New(l)
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request answered", "id", "9c41d07be2a35f68", "status", 200, "took", 120, "peer", "10.0.0.1:7400")
	}
}
