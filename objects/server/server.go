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

// storage stores the objects; its errors are faults.
type storage interface {
	// Get returns a fault of kind NotFound if there is no such object.
	Get(plural, name string) (object.Object, error)
	// List also returns the store's current revision.
	List(plural string) ([]object.Object, string)
	// Create returns a fault of kind Conflict if the name exists.
	Create(o object.Object) (object.Object, error)
	// Update returns a fault of kind NotFound, or Conflict unless o has the current revision.
	Update(o object.Object) (object.Object, error)
	// Delete returns a fault of kind NotFound, or Conflict if o has a revision that is not the current one.
	Delete(o object.Object) (object.Object, error)
	// Watch returns a fault of kind Gone if changes after the revision are not available.
	Watch(plural, name, revision string) (*keeper.Watch, error)
	// Save keeps the state that Restore goes back to.
	Save()
	Restore()
	// Era returns the number of restores.
	Era() uint64
}

// limiter decides which calls are within the rates.
type limiter interface {
	AllowRead() bool
	AllowWrite() bool
}

// callCounter counts calls by kind, and open watches.
type callCounter interface {
	Count(kind int)
	// TrackWatch counts an open watch until done is called.
	TrackWatch() (done func())
	Counts() map[string]int64
}

// faultInjector holds the faults that tests have set.
type faultInjector interface {
	SetFaults(delay time.Duration, inOutage bool, losses int)
	Delay() time.Duration
	// Outage also returns a channel that is closed when the next outage begins.
	Outage() (inOutage bool, next <-chan struct{})
	// LoseAnswer reports whether the answer of a write that took effect must be dropped.
	LoseAnswer() bool
}

// Server is the part that serves the API and the endpoints for tests over HTTP.
type Server struct {
	Listen string `help:"IP address and port to listen on; port 0 takes a free one, which is logged." default:"127.0.0.1:7480" placeholder:"IP:PORT" env:"WISTERIASPOKE_OBJECTS_LISTEN"`
	Token  string `help:"Bearer token that callers must send; none if empty." env:"WISTERIASPOKE_OBJECTS_TOKEN"`

	log     *slog.Logger
	storage storage
	limiter limiter
	counter callCounter
	faults  faultInjector

	http     http.Server
	stopping chan struct{} // closed when watches and delays must end
	stopOnce sync.Once
}

// Check returns every bad setting with its remedy.
func (s *Server) Check() error {
	if _, err := netip.ParseAddrPort(s.Listen); err != nil {
		return fault.Wrap(fault.Invalid, err, "--listen is not an address", "set it to IP:PORT, for example 127.0.0.1:7480")
	}
	return nil
}

// Start listens and logs the actual address under the key "listen".
func (s *Server) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	if err := s.resolveParts(k); err != nil {
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
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.http.Serve(listener) }()
	ended := make(chan error, 1)
	go func() { ended <- s.wait(ctx, serveErr) }()
	return ended, nil
}

func (s *Server) resolveParts(k *kernel.Kernel) error {
	var errs [4]error
	s.log = k.Log
	s.storage, errs[0] = kernel.Need[storage](k)
	s.limiter, errs[1] = kernel.Need[limiter](k)
	s.counter, errs[2] = kernel.Need[callCounter](k)
	s.faults, errs[3] = kernel.Need[faultInjector](k)
	s.stopping = make(chan struct{})
	return errors.Join(errs[:]...)
}

// wait returns after the server has stopped; it closes the server when ctx ends.
func (s *Server) wait(ctx context.Context, serveErr <-chan error) error {
	select {
	case err := <-serveErr:
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-ctx.Done()
		return nil
	case <-ctx.Done():
		err := s.http.Close()
		<-serveErr
		return err
	}
}

// Drain ends all watches with a complete response and waits for the calls in progress.
func (s *Server) Drain(ctx context.Context) error {
	s.stopOnce.Do(func() { close(s.stopping) })
	return s.http.Shutdown(ctx)
}
