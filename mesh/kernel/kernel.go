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
	"wisteriaspoke.example/mesh/grace"
)

// stopWarnDelay is the time after the parts' context is cancelled at which those that still run are logged.
const stopWarnDelay = 300 * time.Millisecond

// Part is a plug-in of a program; its exported fields are settings, set from flags and environment before Start.
type Part interface {
	// Start begins the part's work. The returned channel receives one value when the part has ended, after ctx was
	// cancelled or after a failure; a nil channel means that the part has no goroutine of its own.
	Start(ctx context.Context, k *Kernel) (<-chan error, error)
}

// checker is implemented by parts that validate their settings; all parts' errors are reported before any part starts.
type checker interface {
	Check() error
}

// drainer is implemented by parts with a graceful shutdown; they are drained in descending order of priority before the
// parts' context is cancelled.
type drainer interface {
	Drain(ctx context.Context) error
}

// drainObserver is implemented by parts that prepare for their own drain while other parts are drained.
type drainObserver interface {
	// DrainBegins is called before the first part is drained; it must not block.
	DrainBegins()
}

// Kernel holds the parts of one program.
type Kernel struct {
	// Log is the program's logger; set before Run.
	Log *slog.Logger
	// Grace is the time between a stop signal and the kill of the process, which bounds the graceful shutdown of all parts
	// together; set before Run.
	Grace grace.Period

	parts []namedPart
}

type namedPart struct {
	name string
	part Part
}

// New returns a kernel with one instance of each registered part.
func New() *Kernel {
	k := &Kernel{Log: slog.Default(), Grace: grace.ForDrain(10 * time.Second)}
	for _, r := range registeredByPriority() {
		k.parts = append(k.parts, namedPart{name: r.name, part: r.factory()})
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

// All returns every part that implements T, in ascending order of priority.
func All[T any](k *Kernel) []T {
	var ts []T
	for _, n := range k.parts {
		if t, ok := n.part.(T); ok {
			ts = append(ts, t)
		}
	}
	return ts
}

// Check validates the settings of all parts and returns their errors joined.
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

type partEnd struct {
	name string
	err  error
}

// Run starts all parts. When ctx is cancelled, a part ends or one fails to start, Run drains and stops the started
// parts and returns once all have ended.
func (k *Kernel) Run(ctx context.Context) error {
	// Parts keep running after ctx is cancelled, until they are drained.
	partsCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ends := make(chan partEnd, len(k.parts))
	unfinished := map[string]bool{}
	started := 0
	running := 0
	var failure error
	for _, n := range k.parts {
		end, err := n.part.Start(partsCtx, k)
		if err != nil {
			failure = fmt.Errorf("start %s: %w", n.name, err)
			break
		}
		started++
		if end == nil {
			continue
		}
		running++
		unfinished[n.name] = true
		go func() { ends <- partEnd{name: n.name, err: <-end} }()
	}
	if failure == nil {
		k.Log.Info("started", "parts", started)
		select {
		case <-ctx.Done():
		case e := <-ends:
			running--
			delete(unfinished, e.name)
			failure = fmt.Errorf("part %s ended early: %w", e.name, errorOrUnknown(e.err))
		}
	}
	k.drain(partsCtx, started)
	cancel()
	warn := time.NewTimer(stopWarnDelay)
	defer warn.Stop()
	for running > 0 {
		var e partEnd
		select {
		case e = <-ends:
		case <-warn.C:
			k.Log.Warn("parts have not ended", "parts", slices.Sorted(maps.Keys(unfinished)))
			continue
		}
		running--
		delete(unfinished, e.name)
		if e.err != nil && !errors.Is(e.err, context.Canceled) {
			failure = errors.Join(failure, fmt.Errorf("stop %s: %w", e.name, e.err))
		}
	}
	k.Log.Info("stopped", "clean", failure == nil)
	return failure
}

func errorOrUnknown(err error) error {
	if err == nil {
		return errors.New("the part reported no error")
	}
	return err
}

func (k *Kernel) drain(ctx context.Context, started int) {
	drainCtx, cancel := context.WithTimeout(ctx, k.Grace.Drain())
	defer cancel()
	for _, n := range k.parts[:started] {
		if o, ok := n.part.(drainObserver); ok {
			o.DrainBegins()
		}
	}
	for i := started - 1; i >= 0; i-- {
		d, ok := k.parts[i].part.(drainer)
		if !ok {
			continue
		}
		if err := d.Drain(drainCtx); err != nil {
			k.Log.Warn("drain incomplete", "part", k.parts[i].name, "error", err)
		}
	}
}
