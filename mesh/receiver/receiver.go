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
	"wisteriaspoke.example/mesh/prober"
	"wisteriaspoke.example/mesh/rule"
	"wisteriaspoke.example/mesh/view"
)

func init() {
	kernel.Register("receiver", 70, func() kernel.Part { return &Receiver{} })
}

const (
	// maxHeaderBytes, headerTimeout and idleTimeout are upper bounds of the server; the configuration sets lower limits.
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	// defaultTimeout applies to requests without a deadline whose rule has no timeout.
	defaultTimeout = 10 * time.Second
	// drainDelay is how long a stopping node accepts new requests, so that callers can notice that it is not ready.
	drainDelay = 2300 * time.Millisecond
)

var (
	requests  = metrics.GetOrRegisterCounter("request.count", nil)
	abandoned = metrics.GetOrRegisterCounter("request.abandoned", nil)
)

// forwarder sends requests to endpoints.
type forwarder interface {
	// Forward sends the request to an endpoint of the rule's service and returns the final answer.
	Forward(ctx context.Context, v *view.View, r *rule.Rule, c call.Fields) answer.Answer
}

// viewSource provides the configuration and endpoints for routing.
type viewSource interface {
	// View returns the current state.
	View() *view.View
}

// identity provides the service of the local upstream.
type identity interface {
	// Service returns the service of the local upstream.
	Service() string
}

// dialect reads and writes the platform's headers of requests and responses.
type dialect interface {
	// ParseRequest returns the identifier of a request and how long its caller waits, or zero if not stated.
	ParseRequest(h http.Header) (id string, timeLeft time.Duration)
	// SetRefusalHeaders sets the headers of a refusal: the request's identifier, and when to retry unless wait is zero.
	SetRefusalHeaders(h http.Header, id string, wait time.Duration)
}

// Receiver accepts requests over HTTP and has them forwarded.
type Receiver struct {
	Callers string `help:"IP address and port where callers and the local upstream send requests." placeholder:"IP:PORT" env:"WISTERIASPOKE_CALLERS"`

	log       *slog.Logger
	forwarder forwarder
	views     viewSource
	identity  identity
	dialect   dialect
	server    *http.Server
	active    atomic.Int64
	draining  atomic.Bool
}

// Check returns an error for an invalid setting, with its remedy.
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
	if r.views, err = kernel.Need[viewSource](k); err != nil {
		return nil, err
	}
	if r.identity, err = kernel.Need[identity](k); err != nil {
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
		Handler: http.HandlerFunc(r.handle), MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: slog.NewLogLogger(k.Log.Handler(), slog.LevelDebug), ConnContext: withConnection,
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

// Ready returns an error while callers should use another node.
func (r *Receiver) Ready() error {
	if r.draining.Load() {
		return fault.New(fault.Unavailable, "this node is stopping", "use another node")
	}
	return nil
}

// Drain answers the requests in progress and those of callers that have not yet noticed that the node is not ready.
func (r *Receiver) Drain(ctx context.Context) error {
	if r.server == nil {
		return nil
	}
	r.draining.Store(true)
	r.log.Info("drain begins", "active", r.active.Load())
	// The result can be ignored, as Shutdown reports a context that has ended.
	pauser.Pause(ctx, drainDelay)
	// Waiting until no request is in progress would never end while callers keep coming.
	if err := r.server.Shutdown(ctx); err != nil {
		return fault.Wrap(fault.Unavailable, err, strconv.FormatInt(r.active.Load(), 10)+" requests are cut off", "allow more time with --drain")
	}
	return nil
}

func (r *Receiver) handle(w http.ResponseWriter, q *http.Request) {
	started := time.Now()
	requests.Inc(1)
	r.active.Add(1)
	defer r.active.Add(-1)
	if r.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	id, timeLeft := r.dialect.ParseRequest(q.Header)
	v := r.views.View()
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
	ctx, cancel := context.WithDeadline(q.Context(), started.Add(requestTimeout(match, timeLeft)))
	defer cancel()
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, p.Limits().MaxBodyBytes))
	if err != nil {
		r.refuseBody(w, q, id, err)
		return
	}
	// The server cancels the context only once its own goroutine has seen that the caller has hung up.
	if hasLeft(q) {
		r.logLeft(id, match, started, answer.No)
		r.writeAnswer(w, id, callerLeft)
		return
	}
	a := r.forwarder.Forward(ctx, v, match, call.Fields{
		Method: q.Method, Host: q.Host, Path: q.RequestURI, Headers: endToEndHeaders(q.Header), Body: body,
		RequestID: id, Caller: r.identity.Service(), TimeLeft: timeLeft.Milliseconds(),
	})
	durationHistogram(match.Name()).Update(time.Since(started).Milliseconds())
	if q.Context().Err() != nil {
		r.logLeft(id, match, started, a.Ran())
	}
	r.writeAnswer(w, id, a)
}

// logLeft counts and logs a request whose caller has hung up.
func (r *Receiver) logLeft(id string, match *rule.Rule, started time.Time, ran answer.Ran) {
	abandoned.Inc(1)
	r.log.Info("caller left", "id", id, "rule", match.Name(), "took", time.Since(started).Milliseconds(), "ran", ran)
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// callerLeft is the answer to a request whose caller had hung up before it was forwarded.
var callerLeft = answer.New(answer.Fields{Status: http.StatusServiceUnavailable, Ran: answer.No})

// hasLeft reports whether the request's caller has hung up.
func hasLeft(q *http.Request) bool {
	c, ok := q.Context().Value(connectionKey{}).(net.Conn)
	return ok && prober.Probe(c) == prober.Ended
}

// requestTimeout returns the rule's or the default timeout, bounded by the time that the caller waits.
func requestTimeout(r *rule.Rule, timeLeft time.Duration) time.Duration {
	t := r.Timeout()
	if t <= 0 {
		t = defaultTimeout
	}
	if timeLeft > 0 {
		t = min(t, timeLeft)
	}
	return t
}

// refuseBody answers a request whose body is too large or could not be read.
func (r *Receiver) refuseBody(w http.ResponseWriter, q *http.Request, id string, err error) {
	var tooLarge *http.MaxBytesError
	w.Header().Set("Connection", "close")
	if errors.As(err, &tooLarge) {
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

func (r *Receiver) writeAnswer(w http.ResponseWriter, id string, a answer.Answer) {
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

// endToEndHeaders returns the headers to pass on: not those that are hop-by-hop or named by the Connection header.
func endToEndHeaders(h http.Header) []call.Header {
	hopByHop := map[string]bool{}
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			hopByHop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	hs := make([]call.Header, 0, len(h))
	for name, values := range h {
		if call.IsHopByHop(name) || hopByHop[name] {
			continue
		}
		for _, v := range values {
			hs = append(hs, call.Header{Name: name, Value: v})
		}
	}
	return hs
}

func durationHistogram(rule string) metrics.Histogram {
	return metrics.GetOrRegister("request.took.ms."+rule, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(1028, 0.015))
	}).(metrics.Histogram)
}
