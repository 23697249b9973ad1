package linker

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// TestDrainPastSilentPeer guards against a drain that takes all its time, and a process that is killed at its end, since a
// peer has lost power while its links for calls were idle.
func TestDrainPastSilentPeer(t *testing.T) {
	p := newProxy(t)
	a, b := newNode(t), newNode(t, func(l *Linker, _ *fake) {
		l.LinkPing, l.LinkSilence = 50*time.Millisecond, 200*time.Millisecond
	})
	p.target.Store(b.Address())
	for _, body := range []string{"", strings.Repeat("b", offerMinBytes)} {
		if _, err := a.Call(t.Context(), p.address(), newCall(body)); err != nil {
			t.Fatal(err)
		}
	}
	p.stall()
	defer p.resume()
	b.DrainBegins()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := b.Drain(ctx); err != nil {
		t.Error(err)
	}
}

// TestIdleLinksProbed guards against links that stay open for good after their peer has lost power, and against probes of
// all idle links in calm.
func TestIdleLinksProbed(t *testing.T) {
	var out strings.Builder
	for _, dialed := range []bool{false, true} {
		for _, silence := range []time.Duration{time.Minute, 2 * time.Minute} {
			for _, drains := range []bool{false, true} {
				near, far := connect(t)
				n := newNode(t)
				k := newLink(n.Linker, nil, near, calls, dialed, 1, "", time.Now())
				if drains {
					n.DrainBegins()
				}
				now := time.Now().Add(silence)
				first := k.checkAlive(now)
				second := k.checkAlive(now.Add(n.LinkSilence + time.Second))
				fmt.Fprintf(&out, "dialed %-5v silent for %v, drain begun %-5v: probed %-5v ends %v\n", dialed, silence, drains,
					first == nil && !k.pingedAt.IsZero(), second != nil)
				near.Close()
				far.Close()
			}
		}
	}
	goldie.New(t).Assert(t, "idle", []byte(out.String()))
}
