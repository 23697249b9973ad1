package kernel

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"reflect"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/fault"
)

// endLimit is the time after which parts that have not ended are named in a log line.
const endLimit = 300 * time.Millisecond

// Part is one plug-in; its exported fields are its settings, filled from flags and environment before Start.
type Part interface {
	// Start begins the part's work. The returned channel reports the part's end exactly once, after ctx is
	// cancelled or on a failure; nil means that the part has no goroutine of its own.
	Start(ctx context.Context, k *Kernel) (<-chan error, error)
}

// checker is a part with settings to check; all problems are reported together before any part starts.
type checker interface {
	Check() error
}

// drainer is a part that takes time to stop gracefully; drained in descending priority before the contexts end.
type drainer interface {
	Drain(ctx context.Context) error
}

// Kernel holds the parts of one program.
type Kernel struct {
	// Log receives the program's log lines; set before Run.
	Log *slog.Logger
	// DrainTimeout bounds the graceful shutdown of all parts together; set before Run.
	DrainTimeout time.Duration

	parts []named
}

type named struct {
	name string
	part Part
}

// New returns a kernel with one instance of each registered part.
func New() *Kernel {
	k := &Kernel{Log: slog.Default(), DrainTimeout: 10 * time.Second}
	for _, r := range registered() {
		k.parts = append(k.parts, named{name: r.name, part: r.factory()})
	}
	return k
}

// Need returns the first part that implements T, or an error that names the missing interface.
func Need[T any](k *Kernel) (T, error) {
	for _, n := range k.parts {
		if t, ok := n.part.(T); ok {
			return t, nil
		}
	}
	var zero T
	name := reflect.TypeFor[T]().String()
	return zero, fault.New(fault.Invalid, "no part implements "+name, "import a package that registers one")
}

// All returns every part that implements T, in order of priority.
func All[T any](k *Kernel) []T {
	var ts []T
	for _, n := range k.parts {
		if t, ok := n.part.(T); ok {
			ts = append(ts, t)
		}
	}
	return ts
}

// Check returns one error that joins the problems of all parts' settings.
func (k *Kernel) Check() error {
	var errs []error
	for _, n := range k.parts {
		c, ok := n.part.(checker)
		if !ok {
			continue
		}
		if err := c.Check(); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

type ending struct {
	name string
	err  error
}

// Run starts all parts and returns after ctx is cancelled or a part fails, once every started part has ended.
func (k *Kernel) Run(ctx context.Context) error {
	// Parts outlive ctx until they are drained.
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ends := make(chan ending, len(k.parts))
	waiting := map[string]bool{}
	started := 0
	running := 0
	var failure error
	for _, n := range k.parts {
		end, err := n.part.Start(inner, k)
		if err != nil {
			failure = fmt.Errorf("start %s: %w", n.name, err)
			break
		}
		started++
		if end == nil {
			continue
		}
		running++
		waiting[n.name] = true
		go func() { ends <- ending{name: n.name, err: <-end} }()
	}
	if failure == nil {
		k.Log.Info("started", "parts", started)
		select {
		case <-ctx.Done():
		case e := <-ends:
			running--
			delete(waiting, e.name)
			failure = fmt.Errorf("part %s ended early: %w", e.name, orUnexplained(e.err))
		}
	}
	k.drain(inner, started)
	cancel()
	late := time.NewTimer(endLimit)
	defer late.Stop()
	for running > 0 {
		var e ending
		select {
		case e = <-ends:
		case <-late.C:
			k.Log.Warn("parts have not ended", "parts", slices.Sorted(maps.Keys(waiting)))
			continue
		}
		running--
		delete(waiting, e.name)
		if e.err != nil && !errors.Is(e.err, context.Canceled) {
			failure = errors.Join(failure, fmt.Errorf("stop %s: %w", e.name, e.err))
		}
	}
	k.Log.Info("stopped", "clean", failure == nil)
	return failure
}

func orUnexplained(err error) error {
	if err == nil {
		return errors.New("no reason given")
	}
	return err
}

func (k *Kernel) drain(ctx context.Context, started int) {
	limited, cancel := context.WithTimeout(ctx, k.DrainTimeout)
	defer cancel()
	for i := started - 1; i >= 0; i-- {
		d, ok := k.parts[i].part.(drainer)
		if !ok {
			continue
		}
		if err := d.Drain(limited); err != nil {
			k.Log.Warn("drain incomplete", "part", k.parts[i].name, "error", err)
		}
	}
}
