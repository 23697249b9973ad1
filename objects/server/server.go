package server

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/object"
	"wisteriaspoke.example/objects/keeper"
)

const (
	headerTimeout = 5 * time.Second
	// Longer than clients keep idle connections, so that a client rarely reuses one that is being closed.
	idleTimeout = 2 * time.Minute
)

func init() {
	kernel.Register("objects-server", 50, func() kernel.Part { return &Server{} })
}

// storage holds the objects; its errors are faults.
type storage interface {
	// Get fails with NotFound.
	Get(plural, name string) (object.Object, error)
	// List returns the revision that the objects stand at.
	List(plural string) ([]object.Object, string)
	// Create fails with Conflict when the name is taken.
	Create(o object.Object) (object.Object, error)
	// Update fails with NotFound, or with Conflict unless o has the object's revision.
	Update(o object.Object) (object.Object, error)
	// Delete is conditional on o's revision unless that is empty.
	Delete(o object.Object) (object.Object, error)
	// Watch fails with Gone when the revision cannot be watched from.
	Watch(plural, name, revision string) (*keeper.Watch, error)
}

// limiter says which calls are within the rates.
type limiter interface {
	TakeRead() bool
	TakeWrite() bool
}

// counter counts calls.
type counter interface {
	Count(kind int)
	// Wait counts an open watch until done is called.
	Wait() (done func())
	Counts() map[string]int64
}

// faults says how to fail.
type faults interface {
	Set(delay time.Duration, out bool, lose int)
	Delay() time.Duration
	// Out returns a channel that the next outage closes.
	Out() (out bool, cut <-chan struct{})
	// Lose reports whether the answer of a write that took effect is lost.
	Lose() bool
}

// Server is the part that listens.
type Server struct {
	Listen string `help:"IP address and port to listen on; port 0 takes a free one, which is logged." default:"127.0.0.1:7480" placeholder:"IP:PORT" env:"WISTERIASPOKE_OBJECTS_LISTEN"`
	Token  string `help:"Bearer token that callers must send; none if empty." env:"WISTERIASPOKE_OBJECTS_TOKEN"`

	log     *slog.Logger
	storage storage
	limiter limiter
	counter counter
	faults  faults

	http     http.Server
	stopping chan struct{} // closed when watches must end
	stop     sync.Once
}

// Check returns every bad setting with its remedy.
func (s *Server) Check() error {
	if _, err := netip.ParseAddrPort(s.Listen); err != nil {
		return fault.Wrap(fault.Invalid, err, "--listen is not an address", "set it to IP:PORT, for example 127.0.0.1:7480")
	}
	return nil
}

// Start listens and logs the real address under the key "listen".
func (s *Server) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	if err := s.find(k); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "cannot listen on "+s.Listen, "choose a free address with --listen")
	}
	s.log.Info("listening", "listen", listener.Addr().String())
	s.http.Handler = s.routes()
	s.http.ReadHeaderTimeout = headerTimeout
	s.http.IdleTimeout = idleTimeout
	s.http.ErrorLog = slog.NewLogLogger(s.log.Handler(), slog.LevelWarn)
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(listener) }()
	end := make(chan error, 1)
	go func() { end <- s.wait(ctx, served) }()
	return end, nil
}

func (s *Server) find(k *kernel.Kernel) error {
	var errs [4]error
	s.log = k.Log
	s.storage, errs[0] = kernel.Need[storage](k)
	s.limiter, errs[1] = kernel.Need[limiter](k)
	s.counter, errs[2] = kernel.Need[counter](k)
	s.faults, errs[3] = kernel.Need[faults](k)
	s.stopping = make(chan struct{})
	return errors.Join(errs[:]...)
}

// wait returns after the server has stopped, which it does at the latest when ctx ends.
func (s *Server) wait(ctx context.Context, served <-chan error) error {
	select {
	case err := <-served:
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-ctx.Done()
		return nil
	case <-ctx.Done():
		err := s.http.Close()
		<-served
		return err
	}
}

// Drain ends all watches cleanly and waits for the calls in progress.
func (s *Server) Drain(ctx context.Context) error {
	s.stop.Do(func() { close(s.stopping) })
	return s.http.Shutdown(ctx)
}
