package reserver

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/arbiter"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/group"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/ranker"
)

func init() {
	kernel.Register("reserver", 55, func() kernel.Part { return newReserver(time.Now) })
}

// maxAnswerBytes limits the body of an answer that owners keep; of a longer one only the run is recorded.
const maxAnswerBytes = 64 << 10

// sender sends messages to other nodes without blocking.
type sender interface {
	Send(peer string, m message.Message)
}

// configProvider provides the address of this node.
type configProvider interface {
	Config() machine.Config
}

// Reserver asks the owners of a call's key before the call runs, and replies for the keys that this node owns.
type Reserver struct {
	ReplyLimit time.Duration `help:"Longest wait for the owners of an idempotency key." default:"250ms" env:"WISTERIASPOKE_REPLY_LIMIT"`

	node      string
	links     sender
	now       func() time.Time
	started   time.Time
	connected atomic.Bool // node and links are set
	ledgers   *shards
	views     atomic.Pointer[map[string]serviceView]
	waiters   sync.Map // attempt -> chan arbiter.Reply
}

// serviceView is the members of one service, from the groups of all data centres.
type serviceView struct {
	ranker ranker.Ranker
	groups map[string]group.Group // by data centre
}

// Start looks up the parts that the reserver uses.
func (r *Reserver) Start(_ context.Context, k *kernel.Kernel) (<-chan error, error) {
	links, err := kernel.Need[sender](k)
	if err != nil {
		return nil, err
	}
	id, err := kernel.Need[configProvider](k)
	if err != nil {
		return nil, err
	}
	r.connect(id.Config().Node, links)
	return nil, nil
}

// newReserver returns a reserver that already accepts groups, as the control machines start before it.
func newReserver(now func() time.Time) *Reserver {
	r := &Reserver{ReplyLimit: 250 * time.Millisecond, now: now, started: now(), ledgers: newShards()}
	r.views.Store(&map[string]serviceView{})
	return r
}

func (r *Reserver) connect(node string, links sender) {
	r.node, r.links = node, links
	r.connected.Store(true)
}

// Publish applies new groups of endpoints and ignores all other values. Only one goroutine at a time may call it.
func (r *Reserver) Publish(value any) {
	g, ok := value.(group.Group)
	if !ok {
		return
	}
	views := maps.Clone(*r.views.Load())
	v := views[g.Service()]
	if !g.Replaces(v.groups[g.DataCentre()]) {
		return
	}
	v.groups = maps.Clone(v.groups)
	if v.groups == nil {
		v.groups = map[string]group.Group{}
	}
	v.groups[g.DataCentre()] = g
	joined := map[string]time.Time{}
	for _, g := range v.groups {
		for _, e := range g.Endpoints() {
			// The state is ignored: a node owns keys from its first announcement until it is removed.
			joined[e.Address()] = e.Joined()
		}
	}
	v.ranker = v.ranker.WithMembers(joined, r.now(), holdTime)
	views[g.Service()] = v
	r.views.Store(&views)
}

// Handle processes the messages between entry nodes and owners and reports whether m was one. Messages can arrive
// before Start, as links are accepted earlier; the control machines then drop them, and the sender gets no reply.
func (r *Reserver) Handle(peer string, m message.Message) bool {
	if !r.connected.Load() {
		return false
	}
	switch b := m.Body().(type) {
	case *reserveBody:
		r.links.Send(peer, r.replyTo(b))
	case *replyBody:
		r.deliver(b)
	case *finishBody:
		r.ledgers.finish(r.now(), b)
	default:
		return false
	}
	return true
}

func (r *Reserver) replyTo(b *reserveBody) message.Message {
	v := (*r.views.Load())[b.Service].ranker
	since, owner := v.OwnerSince(b.Key, r.node)
	reply := &replyBody{Attempt: b.Attempt, RecentOwnerCount: v.RecentOwnerCount()}
	if !owner {
		return message.New(kindReply, reply)
	}
	if since.Before(r.started) {
		// The groups may still hold this node's joining time from before a restart.
		since = r.started
	}
	return newReply(b.Attempt, true, since, v.RecentOwnerCount(), r.ledgers.reserve(r.now(), b))
}

func (r *Reserver) deliver(b *replyBody) {
	if w, ok := r.waiters.Load(b.Attempt); ok {
		select {
		case w.(chan arbiter.Reply) <- b.reply():
		default: // A duplicate reply, as the channel has room for one from each owner.
		}
	}
}

// RunOnce calls run if the owners of the call's key prove that the key never ran, and otherwise returns the first
// answer or a refusal.
//
// The call must have a key, and run must not retry anything that may have run.
func (r *Reserver) RunOnce(ctx context.Context, c call.Call, run func(context.Context) answer.Answer) answer.Answer {
	now := r.now()
	created, known := createdAt(c, now)
	if refusal, refused := checkAge(created, now); known && refused {
		return refusal
	}
	attempt := rand.Uint64()
	body := &reserveBody{
		Service: c.Service(), Key: fullKey(c), Fingerprint: fingerprint(c), Attempt: attempt,
		TimeLeft: c.TimeLeft() + time.Second.Milliseconds(),
	}
	owners := (*r.views.Load())[c.Service()].ranker.Owners(body.Key)
	decision, first := r.askOwners(ctx, owners, body, created)
	countDecision(decision)
	if decision != arbiter.Run {
		r.sendFinish(owners, &finishBody{Key: body.Key, Attempt: attempt, Answer: refuse(0, answer.No, "")})
		return answerFor(decision, first)
	}
	a := run(ctx)
	recorded := a
	if len(a.Body()) > maxAnswerBytes {
		f := a.Fields()
		f.Body, f.Status, f.Reason = nil, 409, "long"
		recorded = answer.New(f)
	}
	r.sendFinish(owners, &finishBody{Key: body.Key, Attempt: attempt, Answer: recorded})
	return a
}

// askOwners asks all owners at once and returns as soon as their replies suffice for a decision.
func (r *Reserver) askOwners(ctx context.Context, owners []string, b *reserveBody, created time.Time) (arbiter.Decision, answer.Answer) {
	replies := make(chan arbiter.Reply, len(owners))
	r.waiters.Store(b.Attempt, replies)
	defer r.waiters.Delete(b.Attempt)
	for _, o := range owners {
		if o == r.node {
			r.deliver(r.replyTo(b).Body().(*replyBody))
			continue
		}
		r.links.Send(o, message.New(kindReserve, b))
	}
	limit := time.NewTimer(r.ReplyLimit)
	defer limit.Stop()
	var received []arbiter.Reply
	for {
		decision, first := arbiter.Decide(created, received, len(owners), len(owners)-len(received))
		if decision != arbiter.Wait {
			return decision, first
		}
		select {
		case reply := <-replies:
			received = append(received, reply)
		case <-limit.C:
			return arbiter.Decide(created, received, len(owners), 0)
		case <-ctx.Done():
			return arbiter.NotRun, answer.Answer{}
		}
	}
}

func (r *Reserver) sendFinish(owners []string, b *finishBody) {
	for _, o := range owners {
		if o == r.node {
			r.ledgers.finish(r.now(), b)
			continue
		}
		r.links.Send(o, message.New(kindFinish, b))
	}
}

func refuse(status int, ran answer.Ran, reason string) answer.Answer {
	return answer.New(answer.Fields{Status: status, Ran: ran, Reason: reason})
}

// answerFor returns the answer to a call that does not run.
func answerFor(decision arbiter.Decision, first answer.Answer) answer.Answer {
	switch decision {
	case arbiter.Return:
		return first
	case arbiter.RequestMismatch:
		return refuse(422, answer.No, "mismatch")
	case arbiter.InProgress:
		return refuse(409, answer.Maybe, "running")
	case arbiter.Ran:
		return refuse(409, answer.Maybe, "ran")
	case arbiter.MayHaveRun:
		return refuse(409, answer.Maybe, "unknown")
	}
	return refuse(503, answer.No, "owners")
}

func countDecision(decision arbiter.Decision) {
	metrics.GetOrRegisterCounter("keys."+string(decision), nil).Inc(1)
}
