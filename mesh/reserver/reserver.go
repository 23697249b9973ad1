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

// maxAnswer bounds the body of an answer that owners keep, in bytes; longer ones are remembered as run only.
const maxAnswer = 64 << 10

// sender sends messages to other nodes without blocking.
type sender interface {
	Send(peer string, m message.Message)
}

// identifier knows which node this is.
type identifier interface {
	Config() machine.Config
}

// Reserver asks the owners of a call's key before the call runs, and answers for the keys that this node owns.
type Reserver struct {
	ReplyLimit time.Duration `help:"Longest wait for the owners of an idempotency key." default:"250ms" env:"WISTERIASPOKE_REPLY_LIMIT"`

	node    string
	links   sender
	now     func() time.Time
	started time.Time
	open    atomic.Bool // node and links are set
	held    *shards
	views   atomic.Pointer[map[string]view]
	waiters sync.Map // attempt -> chan arbiter.Reply
}

// view is the members of one service, from the groups of all data centres.
type view struct {
	ranker ranker.Ranker
	groups map[string]group.Group // by data centre
}

// Start looks up the parts that the reserver talks to.
func (r *Reserver) Start(_ context.Context, k *kernel.Kernel) (<-chan error, error) {
	links, err := kernel.Need[sender](k)
	if err != nil {
		return nil, err
	}
	id, err := kernel.Need[identifier](k)
	if err != nil {
		return nil, err
	}
	r.connect(id.Config().Node, links)
	return nil, nil
}

// newReserver returns a reserver that already takes groups, as the control machines start before it.
func newReserver(now func() time.Time) *Reserver {
	r := &Reserver{ReplyLimit: 250 * time.Millisecond, now: now, started: now(), held: newShards()}
	r.views.Store(&map[string]view{})
	return r
}

func (r *Reserver) connect(node string, links sender) {
	r.node, r.links = node, links
	r.open.Store(true)
}

// Publish takes new groups of endpoints and ignores all other values; called by one goroutine at a time.
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
			// The state does not matter: a node owns keys from its first announcement until it is gone.
			joined[e.Address()] = e.Joined()
		}
	}
	v.ranker = v.ranker.WithMembers(joined, r.now(), holdTime)
	views[g.Service()] = v
	r.views.Store(&views)
}

// Handle takes the messages between entry nodes and owners and reports whether m was one. Messages that come before
// Start, as links are accepted earlier, go on and are dropped by the control machines; the other side sees no reply.
func (r *Reserver) Handle(peer string, m message.Message) bool {
	if !r.open.Load() {
		return false
	}
	switch b := m.Body().(type) {
	case *reserveBody:
		r.links.Send(peer, r.answer(b))
	case *replyBody:
		r.take(b)
	case *finishBody:
		r.held.finish(r.now(), b)
	default:
		return false
	}
	return true
}

func (r *Reserver) answer(b *reserveBody) message.Message {
	v := (*r.views.Load())[b.Service].ranker
	since, owner := v.OwnerSince(b.Key, r.node)
	reply := &replyBody{Attempt: b.Attempt, Sized: v.RecentOwnerCount()}
	if !owner {
		return message.New(kindReply, reply)
	}
	if since.Before(r.started) {
		// The groups may still tell of this node's life before a restart.
		since = r.started
	}
	return newReply(b.Attempt, true, since, v.RecentOwnerCount(), r.held.reserve(r.now(), b))
}

func (r *Reserver) take(b *replyBody) {
	if w, ok := r.waiters.Load(b.Attempt); ok {
		select {
		case w.(chan arbiter.Reply) <- b.reply():
		default: // A repeated reply; the wait has room for one from each owner.
		}
	}
}

// RunOnce calls run if the owners of the call's key prove that the key never ran, and answers the call otherwise.
//
// It needs a call with a key; run must not retry anything that may have run.
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
	ruling, first := r.consult(ctx, owners, body, created)
	count(ruling)
	if ruling != arbiter.Run {
		r.tell(owners, &finishBody{Key: body.Key, Attempt: attempt, Answer: refuse(0, answer.No, "")})
		return ruled(ruling, first)
	}
	a := run(ctx)
	kept := a
	if len(a.Body()) > maxAnswer {
		f := a.Fields()
		f.Body, f.Status, f.Reason = nil, 409, "long"
		kept = answer.New(f)
	}
	r.tell(owners, &finishBody{Key: body.Key, Attempt: attempt, Answer: kept})
	return a
}

// consult asks all owners at once and returns as soon as their replies settle the matter.
func (r *Reserver) consult(ctx context.Context, owners []string, b *reserveBody, created time.Time) (arbiter.Decision, answer.Answer) {
	replies := make(chan arbiter.Reply, len(owners))
	r.waiters.Store(b.Attempt, replies)
	defer r.waiters.Delete(b.Attempt)
	for _, o := range owners {
		if o == r.node {
			r.take(r.answer(b).Body().(*replyBody))
			continue
		}
		r.links.Send(o, message.New(kindReserve, b))
	}
	limit := time.NewTimer(r.ReplyLimit)
	defer limit.Stop()
	var got []arbiter.Reply
	for {
		ruling, first := arbiter.Decide(created, got, len(owners), len(owners)-len(got))
		if ruling != arbiter.Wait {
			return ruling, first
		}
		select {
		case reply := <-replies:
			got = append(got, reply)
		case <-limit.C:
			return arbiter.Decide(created, got, len(owners), 0)
		case <-ctx.Done():
			return arbiter.NotRun, answer.Answer{}
		}
	}
}

func (r *Reserver) tell(owners []string, b *finishBody) {
	for _, o := range owners {
		if o == r.node {
			r.held.finish(r.now(), b)
			continue
		}
		r.links.Send(o, message.New(kindFinish, b))
	}
}

func refuse(status int, ran answer.Ran, reason string) answer.Answer {
	return answer.New(answer.Fields{Status: status, Ran: ran, Reason: reason})
}

// ruled returns what a caller is told instead of a run.
func ruled(ruling arbiter.Decision, first answer.Answer) answer.Answer {
	switch ruling {
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

func count(ruling arbiter.Decision) {
	metrics.GetOrRegisterCounter("keys."+string(ruling), nil).Inc(1)
}
