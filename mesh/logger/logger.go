package logger

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// plainQueueSize and urgentQueueSize bound the queued lines, about 2 MB together.
	plainQueueSize  = 4096
	urgentQueueSize = 2048
	// dropReportInterval is the interval at which the number of dropped lines is logged.
	dropReportInterval = time.Second
	// flushTimeout bounds the wait for queued lines in Close.
	flushTimeout = 500 * time.Millisecond
)

var droppedLines = metrics.GetOrRegisterCounter("log.dropped", nil)

// Logger is a slog.Handler for JSON lines.
type Logger struct {
	core      *core
	formatter slog.Handler // formats into core.buffer
}

// core holds the queues and the output, shared by a handler and those derived from it.
type core struct {
	out        io.Writer
	plain      chan []byte
	urgent     chan []byte
	unreported atomic.Int64 // dropped lines since the last log line about them
	stop       chan struct{}
	ended      chan struct{}

	mutex  sync.Mutex // guards buffer while one line is formatted
	buffer bytes.Buffer
}

// New returns a handler that writes lines at or above level to out; the caller must close it.
func New(out io.Writer, level slog.Leveler) *Logger {
	c := &core{
		out: out, plain: make(chan []byte, plainQueueSize), urgent: make(chan []byte, urgentQueueSize),
		stop: make(chan struct{}), ended: make(chan struct{}),
	}
	go c.run()
	return &Logger{core: c, formatter: slog.NewJSONHandler(&c.buffer, &slog.HandlerOptions{Level: level})}
}

// Enabled reports whether lines at the level are written.
func (l *Logger) Enabled(ctx context.Context, level slog.Level) bool {
	return l.formatter.Enabled(ctx, level)
}

// WithAttrs returns a handler that adds the attributes to each line.
func (l *Logger) WithAttrs(as []slog.Attr) slog.Handler {
	return &Logger{core: l.core, formatter: l.formatter.WithAttrs(as)}
}

// WithGroup returns a handler that puts all further attributes into the group.
func (l *Logger) WithGroup(name string) slog.Handler {
	return &Logger{core: l.core, formatter: l.formatter.WithGroup(name)}
}

// Handle queues one line; it never blocks on the output.
func (l *Logger) Handle(ctx context.Context, r slog.Record) error {
	c := l.core
	c.mutex.Lock()
	c.buffer.Reset()
	err := l.formatter.Handle(ctx, r)
	line := bytes.Clone(c.buffer.Bytes())
	c.mutex.Unlock()
	if err != nil {
		return err
	}
	queue := c.plain
	if r.Level >= slog.LevelWarn {
		queue = c.urgent
	}
	select {
	case queue <- line:
	default:
		droppedLines.Inc(1)
		c.unreported.Add(1)
	}
	return nil
}

// run writes queued lines until Close; only it writes to the output.
func (c *core) run() {
	defer close(c.ended)
	t := time.NewTicker(dropReportInterval)
	defer t.Stop()
	for {
		select {
		case line := <-c.urgent:
			c.write(line)
			continue
		default:
		}
		select {
		case line := <-c.urgent:
			c.write(line)
		case line := <-c.plain:
			c.write(line)
		case <-t.C:
			c.reportDropped()
		case <-c.stop:
			c.flush()
			return
		}
	}
}

// write ignores errors, because the output is the only place to report them.
func (c *core) write(line []byte) { c.out.Write(line) }

func (c *core) reportDropped() {
	n := c.unreported.Swap(0)
	if n == 0 {
		return
	}
	var b bytes.Buffer
	slog.New(slog.NewJSONHandler(&b, nil)).Warn("log lines dropped", "lines", n)
	c.write(b.Bytes())
}

func (c *core) flush() {
	c.reportDropped()
	for {
		select {
		case line := <-c.urgent:
			c.write(line)
		case line := <-c.plain:
			c.write(line)
		default:
			return
		}
	}
}

// Close writes the queued lines; it gives up after flushTimeout if the output blocks.
func (l *Logger) Close() {
	close(l.core.stop)
	select {
	case <-l.core.ended:
	case <-time.After(flushTimeout):
	}
}
