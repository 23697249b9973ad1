package oracle

import (
	"context"
	"iter"
	"time"

	"wisteriaspoke.example/mesh/accepter"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
	"wisteriaspoke.example/mesh/preset"
	"wisteriaspoke.example/mesh/simulator"
)

const (
	operatorDistance = time.Millisecond
	answerLimit      = 2 * time.Second
	// patience is how long an operator's command goes on; the command line ends after a similar time.
	patience = 20 * time.Second
)

// operator is one operator's command as a coroutine of the simulation: it gives up control whenever time passes.
type operator struct {
	sim   *simulator.Simulator
	yield func(time.Duration) bool
	ended bool
	until time.Time
	swear bool // a planted fault: writes are acknowledged without effect
}

// begin runs a command in virtual time; the returned function ends it early.
func begin(s *simulator.Simulator, o *operator, command func(*accepter.Accepter)) func() {
	o.sim = s
	o.until = s.Now().Add(patience)
	next, stop := iter.Pull(func(yield func(time.Duration) bool) {
		o.yield = yield
		command(&accepter.Accepter{
			Store: o, NewToken: func() string { return token(s) }, Pause: o.pause, Jitter: func(d time.Duration) time.Duration { return d },
		})
	})
	var resume func()
	resume = func() {
		if d, more := next(); more {
			s.After(d, resume)
		}
	}
	s.After(0, resume)
	return stop
}

// wait lets time pass and reports false if the command was ended.
func (o *operator) wait(d time.Duration) bool {
	if !o.ended {
		o.ended = !o.yield(d)
	}
	return !o.ended
}

func (o *operator) pause(_ context.Context, d time.Duration) error {
	if !o.wait(d) {
		return context.Canceled
	}
	if o.sim.Now().After(o.until) {
		return context.DeadlineExceeded
	}
	return nil
}

func unavailable() error {
	return fault.New(fault.Unavailable, "the store does not answer", "wait for the platform")
}

// arrive lets a request travel to the store.
func (o *operator) arrive() error {
	if !o.wait(operatorDistance + o.sim.Store().Latency) {
		return unavailable()
	}
	if o.sim.Store().Unavailable {
		o.wait(operatorDistance)
		return unavailable()
	}
	return nil
}

// Get implements accepter.Store. Parts are immutable and are read by several goroutines, so no time passes for them.
func (o *operator) Get(_ context.Context, plural, name string) (object.Object, error) {
	if plural != preset.DefinitionPlural {
		if err := o.arrive(); err != nil {
			return object.Object{}, err
		}
	}
	found := o.sim.Store().Object(plural, name)
	if plural != preset.DefinitionPlural && !o.wait(operatorDistance) {
		return object.Object{}, unavailable()
	}
	if found.Revision() == "" {
		return found, fault.New(fault.NotFound, "no object "+plural+"/"+name, "create it")
	}
	return found, nil
}

// List implements accepter.Store; the commands in use need no lists.
func (o *operator) List(context.Context, string) ([]object.Object, string, error) {
	return nil, "", fault.New(fault.Invalid, "lists are not simulated", "read the objects by name")
}

// Create implements accepter.Store.
func (o *operator) Create(_ context.Context, n object.Object) (object.Object, error) {
	return o.write(n)
}

// Update implements accepter.Store.
func (o *operator) Update(_ context.Context, n object.Object) (object.Object, error) {
	return o.write(n)
}

func (o *operator) write(n object.Object) (object.Object, error) {
	if err := o.arrive(); err != nil {
		return object.Object{}, err
	}
	s := o.sim.Store()
	if s.Object(n.Plural(), n.Name()).Revision() != n.Revision() {
		o.wait(operatorDistance)
		return object.Object{}, fault.New(fault.Conflict, "another write came first", "read it again")
	}
	if o.swear {
		return n, nil
	}
	stored := s.Put(n.Plural(), n.Name(), n.Spec())
	if o.sim.Rand().Float64() < s.AnswerLossRate {
		o.wait(answerLimit)
		return object.Object{}, fault.New(fault.MayHaveRun, "the store's answer was lost", "read the object back")
	}
	o.wait(operatorDistance)
	return stored, nil
}
