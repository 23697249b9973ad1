package linker

import (
	"context"
	"fmt"
	"time"

	"wisteriaspoke.example/mesh/fault"
)

// DrainBegins has all links probed from which nothing arrives, so that those to peers that have lost power end while other
// parts are drained.
func (l *Linker) DrainBegins() { l.draining.Store(true) }

// Drain closes all links in order: calls of other nodes are answered first, then this node's own calls end, then the
// control links close. It returns a fault of kind Unavailable if ctx ends earlier.
func (l *Linker) Drain(ctx context.Context) error {
	if !l.started.Load() {
		return nil
	}
	l.rejectInbound.Store(true)
	l.listener.Close()
	// No new link may be opened, even if the links do not close in time.
	defer l.rejectOutbound.Store(true)
	// Running handlers may make calls, so this node's own calls end second.
	if err := l.drainLinks(ctx, func(k *link) bool { return k.purpose.carriesCalls() && !k.dialed }); err != nil {
		return err
	}
	l.rejectOutbound.Store(true)
	if err := l.drainLinks(ctx, func(k *link) bool { return k.purpose.carriesCalls() }); err != nil {
		return err
	}
	return l.drainLinks(ctx, func(*link) bool { return true })
}

// drainLinks asks the selected links to close and waits until they have ended.
func (l *Linker) drainLinks(ctx context.Context, selected func(*link) bool) error {
	var ks []*link
	for k := range l.links.Range {
		if selected(k.(*link)) {
			ks = append(ks, k.(*link))
		}
	}
	for _, k := range ks {
		signal(k.drain)
	}
	for i, k := range ks {
		select {
		case <-k.ended:
		case <-ctx.Done():
			l.logUnfinished(ks[i:])
			return fault.Wrap(fault.Unavailable, ctx.Err(), fmt.Sprintf("%d links still had work", len(ks)-i), "allow more time with --drain")
		}
	}
	return nil
}

// maxUnfinishedLogged bounds the log lines about links that still have work at the end of a drain.
const maxUnfinishedLogged = 5

// logUnfinished logs what the first links that have not ended wait for.
func (l *Linker) logUnfinished(ks []*link) {
	logged := 0
	for _, k := range ks {
		if logged == maxUnfinishedLogged {
			return
		}
		select {
		case <-k.ended:
			continue
		default:
		}
		logged++
		silence := time.Since(time.Unix(0, k.lastReceived.Load()))
		l.log.Warn("link still has work", "peer", k.peer.address, "purpose", k.purpose.String(), "dialed", k.dialed,
			"running", k.handlers.running(), "outstanding", k.outstanding.Load(), "confirmed", k.confirmed.Load(), "silence", silence.Milliseconds())
	}
}
