package linker

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/message"
)

func init() {
	kernel.Register("linker", 30, func() kernel.Part {
		return &Linker{
			LinkPing: defaultPing, LinkSilence: defaultSilence, LinkDial: defaultDial, LinkRetry: defaultRetry, LinkFar: defaultFar,
			now: time.Now, random: rand.Float64,
		}
	})
}

// Defaults of the settings: a peer that vanished without closing its connections is noticed after three probes.
const (
	defaultPing    = 5 * time.Second
	defaultSilence = 15 * time.Second
	defaultDial    = 2 * time.Second
	defaultRetry   = 5 * time.Second
	defaultFar     = 15 * time.Second
)

// sweepInterval keeps a peer's state for one to two minutes after its last use.
const sweepInterval = time.Minute

var (
	messagesDropped = metrics.GetOrRegisterCounter("link.dropped", nil)
	cancelsDropped  = metrics.GetOrRegisterCounter("link.uncancelled", nil)
	lateAnswers     = metrics.GetOrRegisterCounter("link.late", nil)
	callsRefused    = metrics.GetOrRegisterCounter("link.refused", nil)
	callsLate       = metrics.GetOrRegisterCounter("link.heldup", nil)
	linksBroken     = metrics.GetOrRegisterCounter("link.broken", nil)
	// Bytes of control frames sent, before compression: all of them, and those to other regions.
	controlBytes = metrics.GetOrRegisterCounter("link.control", nil)
	crossedBytes = metrics.GetOrRegisterCounter("link.crossed", nil)
)

// server runs the calls of other nodes.
type server interface {
	// Serve runs one call and returns its end; ctx ends with the call's deadline, its caller or its link.
	Serve(ctx context.Context, c call.Call) answer.Answer
}

// injector takes what happens on links.
type injector interface {
	// Inject does not block.
	Inject(e event.Event)
}

// handler takes the messages of its own kinds, which then do not reach the control machines.
type handler interface {
	// Handle does not block and reports whether m was of one of its kinds.
	Handle(peer string, m message.Message) bool
}

// configured knows this node's address and region.
type configured interface {
	Config() machine.Config
}

// Linker links this node with others; Send and Call may be used by many goroutines after Start.
type Linker struct {
	Listen    string `help:"IP address and port where links are accepted; --node if empty." placeholder:"IP:PORT" env:"WISTERIASPOKE_LISTEN"`
	LinkToken string `help:"Credential that all nodes share." env:"WISTERIASPOKE_LINK_TOKEN"`
	LinkCalls int    `help:"Calls of other nodes that run at a time." default:"1024" env:"WISTERIASPOKE_LINK_CALLS"`
	LinkCert  string `help:"File with this node's certificate for links, in PEM." placeholder:"FILE" env:"WISTERIASPOKE_LINK_CERT"`
	LinkKey   string `help:"File with the certificate's key, in PEM." placeholder:"FILE" env:"WISTERIASPOKE_LINK_KEY"`
	LinkCA    string `name:"link-ca" help:"File with the authorities that sign other nodes' certificates, in PEM." placeholder:"FILE" env:"WISTERIASPOKE_LINK_CA"`

	LinkPing    time.Duration `help:"Interval of probes on links." default:"5s" env:"WISTERIASPOKE_LINK_PING"`
	LinkSilence time.Duration `help:"A link on which nothing arrives for this long is closed." default:"15s" env:"WISTERIASPOKE_LINK_SILENCE"`
	LinkFar     time.Duration `help:"A link for messages with another region is probed when nothing arrives for this long." default:"15s" env:"WISTERIASPOKE_LINK_FAR"`
	LinkDial    time.Duration `help:"Limit for opening a link." default:"2s" env:"WISTERIASPOKE_LINK_DIAL"`
	LinkRetry   time.Duration `help:"Longest pause between two attempts to open a link." default:"5s" env:"WISTERIASPOKE_LINK_RETRY"`

	now    func() time.Time
	random func() float64

	ctx      context.Context
	log      *slog.Logger
	server   server
	intake   intake
	injector injector
	handlers []handler
	node     string
	region   string
	secrets  *secrets // nil without TLS
	listener net.Listener
	http     *fasthttp.Server

	tasks   *group
	changes chan change
	peers   sync.Map // string -> *peer
	links   sync.Map // *link -> struct{}
	running atomic.Int64
	started atomic.Bool
	refuse  atomic.Bool // no new links from other nodes
	closed  atomic.Bool // no new calls or links to other nodes
}

// change is one link more or less with a peer.
type change struct {
	peer string
	by   int
	seen chan struct{}
}

// Check returns every bad setting with its remedy.
func (l *Linker) Check() error {
	var errs []error
	if l.Listen != "" {
		if _, err := netip.ParseAddrPort(l.Listen); err != nil {
			errs = append(errs, fault.Wrap(fault.Invalid, err, "--listen is not an address", "set it to IP:PORT, or leave it empty to use --node"))
		}
	}
	if l.LinkToken == "" {
		errs = append(errs, fault.New(fault.Invalid, "--link-token is empty", "set WISTERIASPOKE_LINK_TOKEN to the same secret on all nodes"))
	}
	if l.LinkCalls < 1 {
		errs = append(errs, fault.New(fault.Invalid, fmt.Sprintf("--link-calls is %d", l.LinkCalls), "set it to 1 or more"))
	}
	if l.LinkPing < 0 || l.LinkSilence < 2*l.LinkPing {
		errs = append(errs, fault.New(fault.Invalid, fmt.Sprintf("--link-ping is %v and --link-silence %v", l.LinkPing, l.LinkSilence), "set the silence to twice the interval or more"))
	}
	if l.LinkDial < 0 || l.LinkRetry < 0 || l.LinkFar < 0 {
		errs = append(errs, fault.New(fault.Invalid, fmt.Sprintf("--link-dial is %v, --link-retry %v and --link-far %v", l.LinkDial, l.LinkRetry, l.LinkFar), "set them above 0, for example 2s"))
	}
	set := 0
	for _, file := range []string{l.LinkCert, l.LinkKey, l.LinkCA} {
		if file != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		errs = append(errs, fault.New(fault.Invalid, "only some of --link-cert, --link-key and --link-ca are set", "set all three, or none"))
	}
	return errors.Join(errs...)
}

// Start accepts links; the end is reported after all links and goroutines have ended.
func (l *Linker) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if l.server, err = kernel.Need[server](k); err != nil {
		return nil, err
	}
	l.handlers = kernel.All[handler](k)
	l.intake = unlimited{}
	if all := kernel.All[intake](k); len(all) > 0 {
		l.intake = all[0]
	}
	if l.injector, err = kernel.Need[injector](k); err != nil {
		return nil, err
	}
	own, err := kernel.Need[configured](k)
	if err != nil {
		return nil, err
	}
	if l.LinkCert != "" {
		if l.secrets, err = newSecrets(l.LinkCert, l.LinkKey, l.LinkCA); err != nil {
			return nil, err
		}
	}
	c := own.Config()
	l.node, l.region, l.log = c.Node, c.Region, k.Log
	if err := l.listen(); err != nil {
		return nil, err
	}
	var cancel context.CancelFunc
	l.ctx, cancel = context.WithCancel(ctx)
	l.tasks = newGroup()
	l.changes = make(chan change)
	l.started.Store(true)
	accepting := make(chan error, 1)
	go func() { accepting <- l.http.Serve(l.listener) }()
	end := make(chan error, 1)
	go func() { end <- l.run(ctx, cancel, accepting) }()
	l.log.Info("links accepted", "link", l.Address(), "tls", l.secrets != nil)
	return end, nil
}

func (l *Linker) listen() error {
	address := l.Listen
	if address == "" {
		address = l.node
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "cannot listen for links", "set --listen to a free address of this host")
	}
	l.listener = listener
	// With port 0 the identity has no usable address, so the node takes the listener's.
	if a, err := netip.ParseAddrPort(l.node); err != nil || a.Port() == 0 {
		l.node = listener.Addr().String()
	}
	if l.secrets != nil {
		l.listener = l.secrets.listener(listener)
	}
	l.http = &fasthttp.Server{
		Handler: l.upgrade,
		// Otherwise Close of a WebSocket has no effect until its handler returns.
		KeepHijackedConns:     true,
		NoDefaultServerHeader: true,
		ReadTimeout:           handshakeTimeout,
		WriteTimeout:          handshakeTimeout,
		MaxRequestBodySize:    helloLimit,
		Logger:                quiet{l.log},
	}
	return nil
}

// quiet logs the HTTP server's own lines at the debug level.
type quiet struct{ log *slog.Logger }

func (q quiet) Printf(format string, args ...any) { q.log.Debug(fmt.Sprintf(format, args...)) }

// Address returns the address where links are accepted; valid after Start.
func (l *Linker) Address() string { return l.listener.Addr().String() }

// Ready returns nil while links are accepted.
func (l *Linker) Ready() error {
	if !l.started.Load() || l.refuse.Load() {
		return fault.New(fault.Unavailable, "links are not accepted", "wait for the start, or use another node while this one stops")
	}
	return nil
}

// run owns all goroutines of the linker and reports link changes in order.
func (l *Linker) run(ctx context.Context, cancel context.CancelFunc, accepting chan error) error {
	counts := map[string]int{}
	var failure error
	done := ctx.Done()
	sweeps := time.NewTicker(sweepInterval)
	defer sweeps.Stop()
	for done != nil || l.tasks.running() > 0 {
		select {
		case <-l.tasks.ends:
			l.tasks.ended()
		case c := <-l.changes:
			l.count(counts, c)
		case <-sweeps.C:
			l.sweep()
		case err := <-accepting:
			accepting = nil
			if !l.refuse.Load() && ctx.Err() == nil {
				failure = fault.Wrap(fault.Unavailable, err, "links are no longer accepted", "")
				cancel()
				done = nil
				l.tasks.close()
			}
		case <-done:
			done = nil
			l.tasks.start(l.stopAccepting)
			l.tasks.close()
			cancel()
		}
	}
	cancel()
	if accepting != nil {
		<-accepting
	}
	return failure
}

// stopAccepting closes the listener and ends connections that are not links yet.
func (l *Linker) stopAccepting() {
	l.refuse.Store(true)
	limited, cancel := context.WithTimeout(context.WithoutCancel(l.ctx), closeTimeout)
	defer cancel()
	if err := l.http.ShutdownWithContext(limited); err != nil && !errors.Is(err, net.ErrClosed) {
		l.log.Debug("accepting did not end in order", "error", err)
	}
	l.listener.Close()
}

func (l *Linker) count(counts map[string]int, c change) {
	before := counts[c.peer]
	counts[c.peer] = before + c.by
	switch {
	case before == 0:
		l.injector.Inject(event.NewLinked(c.peer))
	case counts[c.peer] == 0:
		delete(counts, c.peer)
		l.injector.Inject(event.NewUnlinked(c.peer))
	}
	close(c.seen)
}

func (l *Linker) peer(address string) *peer {
	found, ok := l.peers.Load(address)
	if !ok {
		found, _ = l.peers.LoadOrStore(address, newPeer(l, address))
	}
	p := found.(*peer)
	// The load first keeps the cache line shared between the goroutines of calls.
	if !p.touched.Load() {
		p.touched.Store(true)
	}
	return p
}

// sweep forgets peers without links that nobody has used since the last sweep, as addresses come and go with hosts.
func (l *Linker) sweep() {
	for address, found := range l.peers.Range {
		p := found.(*peer)
		if p.unused() && l.peers.CompareAndDelete(address, p) {
			p.retired.Store(true)
			close(p.gone)
		}
	}
}

// Send queues m for the node at address peer without blocking; a message beyond the queue is dropped and counted.
func (l *Linker) Send(peer string, m message.Message) {
	if !l.started.Load() {
		messagesDropped.Inc(1)
		return
	}
	if peer == l.node {
		l.receive(peer, m)
		return
	}
	if !l.peer(peer).post(m) {
		messagesDropped.Inc(1)
	}
}

// receive gives a message to the part that handles its kind, or else to the control machines.
func (l *Linker) receive(peer string, m message.Message) {
	for _, h := range l.handlers {
		if h.Handle(peer, m) {
			return
		}
	}
	l.injector.Inject(event.NewReceived(peer, m))
}

// runLink reports the link to the machines and runs it to its end.
func (l *Linker) runLink(k *link) {
	l.report(k.peer.address, 1)
	err := k.run(l.ctx)
	k.peer.remove(k)
	l.links.Delete(k)
	l.report(k.peer.address, -1)
	k.awaitHandlers()
	if err != nil && l.ctx.Err() == nil {
		linksBroken.Inc(1)
		l.log.Warn("link broken", "peer", k.peer.address, "kind", fault.KindOf(err), "error", err)
	}
}

func (l *Linker) report(peer string, by int) {
	c := change{peer: peer, by: by, seen: make(chan struct{})}
	l.changes <- c
	<-c.seen
}
