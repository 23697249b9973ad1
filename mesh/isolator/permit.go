package isolator

import (
	"context"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/guard"
	"wisteriaspoke.example/mesh/message"
)

// permitTimeout bounds the wait for the witness; the same as for the owners of an idempotency key.
const permitTimeout = 250 * time.Millisecond

// requestPermit asks the witness whether the suspect may run now. If no reply arrives, the suspect may run if this node
// has had the mark for at least guard.MaxSpreadTime, as all nodes that can be reached then have it too.
func (i *Isolator) requestPermit(
	ctx context.Context, witness string, knownFor time.Duration, id uint64, fingerprint string, timeLeft int64,
) bool {
	timeLeft += guard.MaxSpreadTime.Milliseconds()
	if witness == i.node {
		i.mutex.Lock()
		defer i.mutex.Unlock()
		now := i.now()
		return i.guard.GrantPermit(now, fingerprint, id, now.Add(time.Duration(timeLeft)*time.Millisecond))
	}
	reply := make(chan bool, 1)
	i.permitReplies.Store(id, reply)
	defer i.permitReplies.Delete(id)
	i.links.Send(witness, message.New(kindAsk, &askBody{Holder: id, Fingerprint: fingerprint, TimeLeft: timeLeft}))
	limit := time.NewTimer(permitTimeout)
	defer limit.Stop()
	select {
	case granted := <-reply:
		return granted
	case <-limit.C:
		return knownFor >= guard.MaxSpreadTime
	case <-ctx.Done():
		return false
	}
}

// handleAsk decides, as the witness, on a request for permission and replies.
func (i *Isolator) handleAsk(peer string, b *askBody) {
	i.update(func(now time.Time) []effect.Effect {
		granted := i.guard.GrantPermit(now, b.Fingerprint, b.Holder, now.Add(time.Duration(b.TimeLeft)*time.Millisecond))
		return []effect.Effect{effect.NewSend(peer, message.New(kindPermit, &permitBody{Holder: b.Holder, Granted: granted}))}
	})
}

// handlePermit passes the witness's reply to the call that waits for it.
func (i *Isolator) handlePermit(b *permitBody) {
	reply, ok := i.permitReplies.Load(b.Holder)
	if !ok {
		return
	}
	select {
	case reply.(chan bool) <- b.Granted:
	default: // a duplicate reply
	}
}
