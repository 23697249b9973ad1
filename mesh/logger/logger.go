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
	// plainQueue and urgentQueue bound the lines that wait, about 2 MB together.
	plainQueue  = 4096
	urgentQueue = 2048
	// noticeEvery is the interval of lines about dropped lines.
	noticeEvery = time.Second
	// flushLimit bounds the wait for the last lines when a program ends.
	flushLimit = 500 * time.Millisecond
)

var dropped = metrics.GetOrRegisterCounter("log.dropped", nil)

// Logger is a slog.Handler for JSON lines.
type Logger struct {
	core *core
	with slog.Handler // formats into core.buffer
}

// core is shared by a handler and those derived from it.
type core struct {
	out    io.Writer
	plain  chan []byte
	urgent chan []byte
	lost   atomic.Int64
	stop   chan struct{}
	ended  chan struct{}

	mutex  sync.Mutex // guards buffer while one line is formatted
	buffer bytes.Buffer
}

// New returns a handler that writes lines of the level or above to out. Close must be called at the end.
func New(out io.Writer, level slog.Leveler) *Logger {
	c := &core{
		out: out, plain: make(chan []byte, plainQueue), urgent: make(chan []byte, urgentQueue),
		stop: make(chan struct{}), ended: make(chan struct{}),
	}
	go c.run()
	return &Logger{core: c, with: slog.NewJSONHandler(&c.buffer, &slog.HandlerOptions{Level: level})}
}

// Enabled reports whether lines of the level are written.
func (l *Logger) Enabled(ctx context.Context, level slog.Level) bool {
	return l.with.Enabled(ctx, level)
}

// WithAttrs returns a handler whose lines have the attributes.
func (l *Logger) WithAttrs(as []slog.Attr) slog.Handler {
	return &Logger{core: l.core, with: l.with.WithAttrs(as)}
}

// WithGroup returns a handler whose attributes are in the group.
func (l *Logger) WithGroup(name string) slog.Handler {
	return &Logger{core: l.core, with: l.with.WithGroup(name)}
}

// Handle queues one line; it never blocks on the output.
func (l *Logger) Handle(ctx context.Context, r slog.Record) error {
	c := l.core
	c.mutex.Lock()
	c.buffer.Reset()
	err := l.with.Handle(ctx, r)
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
		dropped.Inc(1)
		c.lost.Add(1)
	}
	return nil
}

// run writes lines until Close; it owns the output.
func (c *core) run() {
	defer close(c.ended)
	t := time.NewTicker(noticeEvery)
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
			c.notice()
		case <-c.stop:
			c.flush()
			return
		}
	}
}

// write cannot report a failure anywhere: the output is where failures are reported.
func (c *core) write(line []byte) { c.out.Write(line) }

func (c *core) notice() {
	n := c.lost.Swap(0)
	if n == 0 {
		return
	}
	var b bytes.Buffer
	slog.New(slog.NewJSONHandler(&b, nil)).Warn("log lines dropped", "lines", n)
	c.write(b.Bytes())
}

func (c *core) flush() {
	c.notice()
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

// Close writes the lines that wait, unless the output is blocked.
func (l *Logger) Close() {
	close(l.core.stop)
	select {
	case <-l.core.ended:
	case <-time.After(flushLimit):
	}
}
