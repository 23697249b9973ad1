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
	"wisteriaspoke.example/mesh/holder"
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

// Defaults of the settings: a peer that disappears without closing its connections is detected after three pings.
const (
	defaultPing    = 5 * time.Second
	defaultSilence = 15 * time.Second
	defaultDial    = 2 * time.Second
	defaultRetry   = 5 * time.Second
	defaultFar     = 15 * time.Second
)

// sweepInterval is the interval at which unused peers are removed, one to two intervals after their last use.
const sweepInterval = time.Minute

var (
	messagesDropped = metrics.GetOrRegisterCounter("link.dropped", nil)
	cancelsDropped  = metrics.GetOrRegisterCounter("link.uncancelled", nil)
	lateAnswers     = metrics.GetOrRegisterCounter("link.late", nil)
	callsRefused    = metrics.GetOrRegisterCounter("link.refused", nil)
	callsDelayed    = metrics.GetOrRegisterCounter("link.heldup", nil)
	linksBroken     = metrics.GetOrRegisterCounter("link.broken", nil)
	// Bytes of sent control frames before compression: of all, and of those to other regions.
	controlBytes     = metrics.GetOrRegisterCounter("link.control", nil)
	crossRegionBytes = metrics.GetOrRegisterCounter("link.crossed", nil)
)

// server runs the calls of other nodes.
type server interface {
	// Serve runs one call and returns its answer; ctx ends at the call's deadline, when its caller cancels it, or with its
	// link.
	Serve(ctx context.Context, c call.Call) answer.Answer
}

// injector receives the events of links.
type injector interface {
	// Inject must not block.
	Inject(e event.Event)
}

// messageHandler handles the messages of certain kinds, which are then not passed to the control machines.
type messageHandler interface {
	// Handle reports whether m is of one of its kinds and thus handled; it must not block.
	Handle(peer string, m message.Message) bool
}

// configSource provides this node's address and region.
type configSource interface {
	Config() machine.Config
}

// Linker connects this node with others; Send and Call are safe for concurrent use after Start.
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

	ctx             context.Context
	log             *slog.Logger
	server          server
	intake          intake
	outflow         outflow
	holder          *holder.Holder
	encoding        sync.Mutex // held while a large answer is encoded, as its body is then in memory twice
	injector        injector
	messageHandlers []messageHandler
	node            string
	region          string
	tlsFiles        *tlsFiles // nil without TLS
	listener        net.Listener
	http            *fasthttp.Server

	tasks          *group
	changes        chan linkChange
	peers          sync.Map // string -> *peer
	links          sync.Map // *link -> struct{}
	runningCalls   atomic.Int64
	started        atomic.Bool
	draining       atomic.Bool // the drain of all parts has begun
	rejectInbound  atomic.Bool // no new links from other nodes
	rejectOutbound atomic.Bool // no new calls or links to other nodes
}

// linkChange reports that a link with a peer was added or removed.
type linkChange struct {
	peer    string
	delta   int
	applied chan struct{}
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

// Start accepts links; the returned channel receives a value after all links and goroutines have ended.
func (l *Linker) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if l.server, err = kernel.Need[server](k); err != nil {
		return nil, err
	}
	l.messageHandlers = kernel.All[messageHandler](k)
	l.intake = partOr[intake](k, unlimited{})
	l.outflow = partOr[outflow](k, unlimited{})
	l.holder = partOr[bodyHolder](k, unlimited{}).Holder()
	if l.injector, err = kernel.Need[injector](k); err != nil {
		return nil, err
	}
	source, err := kernel.Need[configSource](k)
	if err != nil {
		return nil, err
	}
	if l.LinkCert != "" {
		if l.tlsFiles, err = newTLSFiles(l.LinkCert, l.LinkKey, l.LinkCA); err != nil {
			return nil, err
		}
	}
	c := source.Config()
	l.node, l.region, l.log = c.Node, c.Region, k.Log
	if err := l.listen(); err != nil {
		return nil, err
	}
	var cancel context.CancelFunc
	l.ctx, cancel = context.WithCancel(ctx)
	l.tasks = newGroup()
	l.changes = make(chan linkChange)
	l.started.Store(true)
	accepting := make(chan error, 1)
	go func() { accepting <- l.http.Serve(l.listener) }()
	end := make(chan error, 1)
	go func() { end <- l.run(ctx, cancel, accepting) }()
	l.log.Info("listening for links", "link", l.Address(), "tls", l.tlsFiles != nil)
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
	// With port 0 the configured address is not usable, so the listener's is used.
	if a, err := netip.ParseAddrPort(l.node); err != nil || a.Port() == 0 {
		l.node = listener.Addr().String()
	}
	if l.tlsFiles != nil {
		l.listener = l.tlsFiles.wrapListener(listener)
	}
	l.http = &fasthttp.Server{
		Handler: l.upgrade,
		// Otherwise Close of a WebSocket has no effect until its handler returns.
		KeepHijackedConns:     true,
		NoDefaultServerHeader: true,
		ReadTimeout:           handshakeTimeout,
		WriteTimeout:          handshakeTimeout,
		MaxRequestBodySize:    maxHelloBytes,
		Logger:                debugLogger{l.log},
	}
	return nil
}

// debugLogger logs the HTTP server's messages at the debug level.
type debugLogger struct{ log *slog.Logger }

func (q debugLogger) Printf(format string, args ...any) { q.log.Debug(fmt.Sprintf(format, args...)) }

// Address returns the address where links are accepted; valid after Start.
func (l *Linker) Address() string { return l.listener.Addr().String() }

// Ready returns nil while links are accepted.
func (l *Linker) Ready() error {
	if !l.started.Load() || l.rejectInbound.Load() {
		return fault.New(fault.Unavailable, "links are not accepted", "wait for the start, or use another node while this one stops")
	}
	return nil
}

// run waits for ctx and for the end of all goroutines; it applies link changes one after the other.
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
			l.applyChange(counts, c)
		case <-sweeps.C:
			l.sweep()
		case err := <-accepting:
			accepting = nil
			if !l.rejectInbound.Load() && ctx.Err() == nil {
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

// stopAccepting closes the listener and the connections that have not become links.
func (l *Linker) stopAccepting() {
	l.rejectInbound.Store(true)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(l.ctx), closeTimeout)
	defer cancel()
	if err := l.http.ShutdownWithContext(stopCtx); err != nil && !errors.Is(err, net.ErrClosed) {
		l.log.Debug("HTTP server did not shut down in order", "error", err)
	}
	l.listener.Close()
}

// applyChange counts the links with a peer and reports its first and the end of its last one.
func (l *Linker) applyChange(counts map[string]int, c linkChange) {
	before := counts[c.peer]
	counts[c.peer] = before + c.delta
	switch {
	case before == 0:
		l.injector.Inject(event.NewLinked(c.peer))
	case counts[c.peer] == 0:
		delete(counts, c.peer)
		l.injector.Inject(event.NewUnlinked(c.peer))
	}
	close(c.applied)
}

func (l *Linker) peer(address string) *peer {
	found, ok := l.peers.Load(address)
	if !ok {
		found, _ = l.peers.LoadOrStore(address, newPeer(l, address))
	}
	p := found.(*peer)
	// Loading first avoids a store on each call, which would take the cache line away from other cores.
	if !p.usedSinceSweep.Load() {
		p.usedSinceSweep.Store(true)
	}
	return p
}

// EndBackoff lets this node dial the node at the address at once, because that node has restarted.
func (l *Linker) EndBackoff(address string) {
	if found, ok := l.peers.Load(address); ok {
		p := found.(*peer)
		p.failures.Store(0)
		p.retryAt.Store(0)
	}
}

// sweep removes peers without links that were not used since the last sweep: the addresses of removed hosts would
// otherwise accumulate.
func (l *Linker) sweep() {
	for address, found := range l.peers.Range {
		p := found.(*peer)
		if p.unused() && l.peers.CompareAndDelete(address, p) {
			p.retired.Store(true)
			close(p.stopSending)
		}
	}
}

// Send queues m for the node at address peer without blocking; if the queue is full, m is dropped and counted.
func (l *Linker) Send(peer string, m message.Message) {
	if !l.started.Load() {
		messagesDropped.Inc(1)
		return
	}
	if peer == l.node {
		l.dispatch(peer, m)
		return
	}
	if !l.peer(peer).enqueue(m) {
		messagesDropped.Inc(1)
	}
}

// dispatch passes a message to the part that handles its kind, or to the control machines if there is none.
func (l *Linker) dispatch(peer string, m message.Message) {
	for _, h := range l.messageHandlers {
		if h.Handle(peer, m) {
			return
		}
	}
	l.injector.Inject(event.NewReceived(peer, m))
}

// runLink reports the link to the control machines and runs it until it ends.
func (l *Linker) runLink(k *link) {
	l.reportChange(k.peer.address, 1)
	err := k.run(l.ctx)
	k.peer.remove(k)
	l.links.Delete(k)
	l.reportChange(k.peer.address, -1)
	k.awaitHandlers()
	if err != nil && l.ctx.Err() == nil {
		linksBroken.Inc(1)
		l.log.Warn("link broken", "peer", k.peer.address, "kind", fault.KindOf(err), "error", err)
	}
}

func (l *Linker) reportChange(peer string, delta int) {
	c := linkChange{peer: peer, delta: delta, applied: make(chan struct{})}
	l.changes <- c
	<-c.applied
}
