package receiver

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/pauser"
	"wisteriaspoke.example/mesh/rule"
	"wisteriaspoke.example/mesh/view"
)

func init() {
	kernel.Register("receiver", 70, func() kernel.Part { return &Receiver{} })
}

const (
	// headerBytes, headerWait and idleWait are the server's outermost bounds; the configuration's are lower.
	headerBytes = 64 << 10
	headerWait  = 10 * time.Second
	idleWait    = 2 * time.Minute
	// defaultTimeout applies to requests that have no deadline of their own and no time-out in their rule.
	defaultTimeout = 10 * time.Second
	// linger is how long a stopping node takes new requests, until callers have noticed that it is not ready.
	linger = 2300 * time.Millisecond
)

var (
	requests = metrics.GetOrRegisterCounter("request.count", nil)
	gone     = metrics.GetOrRegisterCounter("request.abandoned", nil)
)

// forwarder takes requests to endpoints.
type forwarder interface {
	// Forward sends the request of the rule to an endpoint and returns the end of it.
	Forward(ctx context.Context, v *view.View, r *rule.Rule, c call.Fields) answer.Answer
}

// viewer has the state that calls read.
type viewer interface {
	// View returns the present state.
	View() *view.View
}

// origin knows the service beside which requests begin.
type origin interface {
	// Service returns the service of the local upstream.
	Service() string
}

// dialect is how callers state what they expect.
type dialect interface {
	// ParseRequest returns the identifier of a request and the time that its caller waits, or zero if it does not say.
	ParseRequest(h http.Header) (id string, left time.Duration)
	// SetRefusalHeaders sets the headers of a refusal: the request it answers, and when to come back if that makes sense.
	SetRefusalHeaders(h http.Header, id string, wait time.Duration)
}

// Receiver takes requests over HTTP.
type Receiver struct {
	Callers string `help:"IP address and port where callers and the local upstream send requests." placeholder:"IP:PORT" env:"WISTERIASPOKE_CALLERS"`

	log       *slog.Logger
	forwarder forwarder
	viewer    viewer
	origin    origin
	dialect   dialect
	server    *http.Server
	active    atomic.Int64
	draining  atomic.Bool
}

// Check returns every bad setting with its remedy.
func (r *Receiver) Check() error {
	if _, err := netip.ParseAddrPort(r.Callers); err != nil {
		return fault.Wrap(fault.Invalid, err, "--callers is not an address", "set it to IP:PORT, for example 127.0.0.1:7402")
	}
	return nil
}

// Start accepts requests until ctx ends.
func (r *Receiver) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if r.forwarder, err = kernel.Need[forwarder](k); err != nil {
		return nil, err
	}
	if r.viewer, err = kernel.Need[viewer](k); err != nil {
		return nil, err
	}
	if r.origin, err = kernel.Need[origin](k); err != nil {
		return nil, err
	}
	if r.dialect, err = kernel.Need[dialect](k); err != nil {
		return nil, err
	}
	r.log = k.Log
	listener, err := net.Listen("tcp", r.Callers)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "cannot listen for callers", "set --callers to a free address of this host")
	}
	r.server = &http.Server{
		Handler: http.HandlerFunc(r.handle), MaxHeaderBytes: headerBytes, ReadHeaderTimeout: headerWait, IdleTimeout: idleWait,
		ErrorLog: slog.NewLogLogger(k.Log.Handler(), slog.LevelDebug),
	}
	served := make(chan error, 1)
	go func() { served <- r.server.Serve(listener) }()
	end := make(chan error, 1)
	go func() { end <- r.run(ctx, served) }()
	r.log.Info("callers accepted", "address", listener.Addr().String())
	return end, nil
}

func (r *Receiver) run(ctx context.Context, served chan error) error {
	select {
	case err := <-served:
		if r.draining.Load() {
			return nil
		}
		return fault.Wrap(fault.Unavailable, err, "callers are no longer accepted", "")
	case <-ctx.Done():
	}
	err := r.server.Close()
	if e := <-served; !errors.Is(e, http.ErrServerClosed) {
		err = errors.Join(err, e)
	}
	return err
}

// Ready returns why callers should use another node, or nil.
func (r *Receiver) Ready() error {
	if r.draining.Load() {
		return fault.New(fault.Unavailable, "this node is stopping", "use another node")
	}
	return nil
}

// Drain answers the requests in progress and those of callers that have not yet noticed the stop.
func (r *Receiver) Drain(ctx context.Context) error {
	if r.server == nil {
		return nil
	}
	r.draining.Store(true)
	r.log.Info("drain begins", "active", r.active.Load())
	// Shutdown reports a context that has ended.
	pauser.Pause(ctx, linger)
	// Waiting until no request is in progress would never end while callers keep coming.
	if err := r.server.Shutdown(ctx); err != nil {
		return fault.Wrap(fault.Unavailable, err, strconv.FormatInt(r.active.Load(), 10)+" requests are cut off", "allow more time with --drain")
	}
	return nil
}

func (r *Receiver) handle(w http.ResponseWriter, q *http.Request) {
	begun := time.Now()
	requests.Inc(1)
	r.active.Add(1)
	defer r.active.Add(-1)
	if r.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	id, left := r.dialect.ParseRequest(q.Header)
	v := r.viewer.View()
	p := v.Plan()
	if p == nil {
		r.refuse(w, q, id, http.StatusServiceUnavailable, "no configuration is known yet", time.Second)
		return
	}
	match := p.Match(q.Host, q.URL.EscapedPath())
	if match == nil {
		r.refuse(w, q, id, http.StatusNotFound, "no route matches", 0)
		return
	}
	ctx, cancel := context.WithDeadline(q.Context(), begun.Add(timeout(match, left)))
	defer cancel()
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, p.Limits().MaxBodyBytes))
	if err != nil {
		r.unread(w, q, id, err)
		return
	}
	a := r.forwarder.Forward(ctx, v, match, call.Fields{
		Method: q.Method, Host: q.Host, Path: q.RequestURI, Headers: headers(q.Header), Body: body,
		RequestID: id, Caller: r.origin.Service(), TimeLeft: left.Milliseconds(),
	})
	histogram(match.Name()).Update(time.Since(begun).Milliseconds())
	if q.Context().Err() != nil {
		gone.Inc(1)
		r.log.Info("caller left", "id", id, "rule", match.Name(), "took", time.Since(begun).Milliseconds(), "ran", a.Ran())
	}
	r.write(w, id, a)
}

// timeout returns how long the request may take.
func timeout(r *rule.Rule, left time.Duration) time.Duration {
	t := r.Timeout()
	if t <= 0 {
		t = defaultTimeout
	}
	if left > 0 {
		t = min(t, left)
	}
	return t
}

// unread answers a request whose body could not be read.
func (r *Receiver) unread(w http.ResponseWriter, q *http.Request, id string, err error) {
	var large *http.MaxBytesError
	w.Header().Set("Connection", "close")
	if errors.As(err, &large) {
		r.refuse(w, q, id, http.StatusRequestEntityTooLarge, "the body is over the configuration's limit", 0)
		return
	}
	r.refuse(w, q, id, http.StatusBadRequest, "the body cannot be read: "+err.Error(), 0)
}

func (r *Receiver) refuse(w http.ResponseWriter, q *http.Request, id string, status int, reason string, wait time.Duration) {
	metrics.GetOrRegisterCounter("request.refused."+strconv.Itoa(status), nil).Inc(1)
	r.log.Warn("request refused", "id", id, "status", status, "reason", reason, "host", q.Host, "path", q.URL.Path)
	r.dialect.SetRefusalHeaders(w.Header(), id, wait)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

func (r *Receiver) write(w http.ResponseWriter, id string, a answer.Answer) {
	h := w.Header()
	if a.Ran() != answer.Yes {
		metrics.GetOrRegisterCounter("request.failed."+strconv.Itoa(a.Status()), nil).Inc(1)
		r.dialect.SetRefusalHeaders(h, id, time.Duration(a.RetryAfter())*time.Millisecond)
	}
	for _, line := range a.Headers() {
		h.Add(line.Name, line.Value)
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body())))
	w.WriteHeader(a.Status())
	if _, err := w.Write(a.Body()); err != nil {
		r.log.Info("answer not delivered", "id", id, "status", a.Status(), "error", err)
	}
}

// headers returns the headers that are passed on; those that the Connection header names are not.
func headers(h http.Header) []call.Header {
	named := map[string]bool{}
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	hs := make([]call.Header, 0, len(h))
	for name, values := range h {
		if call.IsHopByHop(name) || named[name] {
			continue
		}
		for _, v := range values {
			hs = append(hs, call.Header{Name: name, Value: v})
		}
	}
	return hs
}

func histogram(rule string) metrics.Histogram {
	return metrics.GetOrRegister("request.took.ms."+rule, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(1028, 0.015))
	}).(metrics.Histogram)
}
