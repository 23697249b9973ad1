package linker

import (
	"context"
	"fmt"

	"wisteriaspoke.example/mesh/fault"
)

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
			return fault.Wrap(fault.Unavailable, ctx.Err(), fmt.Sprintf("%d links still had work", len(ks)-i), "allow more time with --drain")
		}
	}
	return nil
}
