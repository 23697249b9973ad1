package isolator

import (
	"context"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/guard"
	"wisteriaspoke.example/mesh/message"
)

// replyLimit bounds the wait for the witness, as for the owners of an idempotency key.
const replyLimit = 250 * time.Millisecond

// permit asks the witness whether the suspect may run now. Without an answer it may run if all nodes that can be reached
// have known of the crash for long enough.
func (i *Isolator) permit(ctx context.Context, witness string, known time.Duration, id uint64, p string, left int64) bool {
	left += guard.MaxSpreadTime.Milliseconds()
	if witness == i.node {
		i.mutex.Lock()
		defer i.mutex.Unlock()
		now := i.now()
		return i.guard.GrantPermit(now, p, id, now.Add(time.Duration(left)*time.Millisecond))
	}
	reply := make(chan bool, 1)
	i.replies.Store(id, reply)
	defer i.replies.Delete(id)
	i.links.Send(witness, message.New(kindAsk, &askBody{Holder: id, Fingerprint: p, TimeLeft: left}))
	limit := time.NewTimer(replyLimit)
	defer limit.Stop()
	select {
	case granted := <-reply:
		return granted
	case <-limit.C:
		return known >= guard.MaxSpreadTime
	case <-ctx.Done():
		return false
	}
}

// answer decides at the witness.
func (i *Isolator) answer(peer string, b *askBody) {
	i.do(func(now time.Time) []effect.Effect {
		granted := i.guard.GrantPermit(now, b.Fingerprint, b.Holder, now.Add(time.Duration(b.TimeLeft)*time.Millisecond))
		return []effect.Effect{effect.NewSend(peer, message.New(kindPermit, &permitBody{Holder: b.Holder, Granted: granted}))}
	})
}

// permitted hands the witness's answer to the call that waits for it.
func (i *Isolator) permitted(b *permitBody) {
	found, ok := i.replies.Load(b.Holder)
	if !ok {
		return
	}
	select {
	case found.(chan bool) <- b.Granted:
	default: // a repeated answer
	}
}
