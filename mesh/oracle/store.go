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
	operatorNetworkDelay = time.Millisecond
	answerTimeout        = 2 * time.Second
	// commandTimeout limits an operator's command; the command line uses a similar timeout.
	commandTimeout = 20 * time.Second
)

// operator runs an operator's command as a coroutine that yields whenever virtual time must pass.
type operator struct {
	sim        *simulator.Simulator
	yield      func(time.Duration) bool
	ended      bool
	deadline   time.Time
	dropWrites bool // injected fault: writes are acknowledged but not applied
}

// startCommand runs a command in virtual time; the returned function stops it early.
func startCommand(s *simulator.Simulator, o *operator, command func(*accepter.Accepter)) func() {
	o.sim = s
	o.deadline = s.Now().Add(commandTimeout)
	next, stop := iter.Pull(func(yield func(time.Duration) bool) {
		o.yield = yield
		command(&accepter.Accepter{
			Store: o, NewToken: func() string { return newToken(s) }, Pause: o.pause, Jitter: func(d time.Duration) time.Duration { return d },
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

// wait advances virtual time by d and reports false if the command was stopped.
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
	if o.sim.Now().After(o.deadline) {
		return context.DeadlineExceeded
	}
	return nil
}

func unavailableError() error {
	return fault.New(fault.Unavailable, "the store does not answer", "wait for the platform")
}

// sendRequest waits for the delay of a request and returns an error if the store is unavailable.
func (o *operator) sendRequest() error {
	if !o.wait(operatorNetworkDelay + o.sim.Store().Latency) {
		return unavailableError()
	}
	if o.sim.Store().Unavailable {
		o.wait(operatorNetworkDelay)
		return unavailableError()
	}
	return nil
}

// Get implements accepter.Store. Definitions take no virtual time: they are immutable and read by several goroutines.
func (o *operator) Get(_ context.Context, plural, name string) (object.Object, error) {
	if plural != preset.DefinitionPlural {
		if err := o.sendRequest(); err != nil {
			return object.Object{}, err
		}
	}
	found := o.sim.Store().Object(plural, name)
	if plural != preset.DefinitionPlural && !o.wait(operatorNetworkDelay) {
		return object.Object{}, unavailableError()
	}
	if found.Revision() == "" {
		return found, fault.New(fault.NotFound, "no object "+plural+"/"+name, "create it")
	}
	return found, nil
}

// List implements accepter.Store; it always fails because no simulated command lists objects.
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
	if err := o.sendRequest(); err != nil {
		return object.Object{}, err
	}
	s := o.sim.Store()
	if s.Object(n.Plural(), n.Name()).Revision() != n.Revision() {
		o.wait(operatorNetworkDelay)
		return object.Object{}, fault.New(fault.Conflict, "another write came first", "read it again")
	}
	if o.dropWrites {
		return n, nil
	}
	stored := s.Put(n.Plural(), n.Name(), n.Spec())
	if o.sim.Rand().Float64() < s.AnswerLossRate {
		o.wait(answerTimeout)
		return object.Object{}, fault.New(fault.MayHaveRun, "the store's answer was lost", "read the object back")
	}
	o.wait(operatorNetworkDelay)
	return stored, nil
}
