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

// blockedOutput is an output whose writes block until it is released.
type blockedOutput struct {
	release chan struct{}
	mutex   sync.Mutex
	buffer  bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(p)
}

// TestBlockedOutput guards against callers that block because nobody reads the log. More lines than the queue holds are
// logged while the output blocks: warnings must be kept, and the number of dropped lines must be logged.
func TestBlockedOutput(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	l := New(out, slog.LevelInfo)
	log := slog.New(l)
	for range 3 * plainQueueSize {
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
	if n := strings.Count(text, `"plain"`); n > plainQueueSize+1 || n < plainQueueSize-1 {
		t.Errorf("%d plain lines are written, %d fit", n, plainQueueSize)
	}
	if !strings.Contains(text, "log lines dropped") {
		t.Error("the dropped lines are not reported")
	}
}

// TestLines guards against lines that are not JSON and attributes missing from the lines of derived loggers.
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

// BenchmarkHandle measures the log line of one request.
func BenchmarkHandle(b *testing.B) {
	l := New(&bytes.Buffer{}, slog.LevelInfo)
	defer l.Close()
	log := slog.New(l)
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request answered", "id", "9c41d07be2a35f68", "status", 200, "took", 120, "peer", "10.0.0.1:7400")
	}
}
