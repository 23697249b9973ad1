package timekeeper

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// TestTransit guards against messages that were held up on their link and seem to have arrived at once, the first one
// of a link above all, and against quick ones that seem late. Each step is a message from the dialer to the acceptor and
// the stamped reply.
func TestTransit(t *testing.T) {
	const ms = time.Millisecond
	type step struct {
		pause         time.Duration // before the message
		there, back   time.Duration // transit times
		dialerStops   time.Duration // for which the dialer's clock stands still during the pause
		acceptorStops time.Duration // the same for the acceptor's clock
	}
	cases := []struct {
		name  string
		hello time.Duration // transit time of the acceptor's hello, at which its clock starts
		steps []step
	}{
		{"first message held up", 2 * ms, []step{{there: 3600 * ms, back: 2 * ms}, {there: 2 * ms, back: 2 * ms}}},
		{"later message held up", 2 * ms, []step{{there: 2 * ms, back: 2 * ms}, {pause: time.Second, there: 700 * ms, back: 2 * ms}}},
		{"hello held up", 900 * ms, []step{{there: 2 * ms, back: 3 * ms}, {there: 2 * ms, back: 2 * ms}}},
		{"replies held up", 20 * ms, []step{{there: 20 * ms, back: 800 * ms}, {there: 20 * ms, back: 800 * ms}}},
		{"dialer suspended", 2 * ms, []step{{there: 2 * ms, back: 2 * ms}, {dialerStops: 3 * time.Second, there: 2 * ms, back: 2 * ms}, {there: 2 * ms, back: 2 * ms}}},
		{"acceptor suspended", 2 * ms, []step{{there: 2 * ms, back: 2 * ms}, {acceptorStops: 3 * time.Second, there: 2 * ms, back: 2 * ms}, {there: 600 * ms, back: 2 * ms}}},
	}
	var out strings.Builder
	for _, c := range cases {
		fmt.Fprintf(&out, "%s\n", c.name)
		dialerClock, acceptorClock := time.Unix(1000, 0), time.Unix(2000, 0)
		advance := func(d time.Duration) {
			dialerClock, acceptorClock = dialerClock.Add(d), acceptorClock.Add(d)
		}
		acceptor := New(acceptorClock)
		advance(c.hello)
		dialer := New(dialerClock)
		for _, s := range c.steps {
			advance(s.pause)
			dialerClock, acceptorClock = dialerClock.Add(s.acceptorStops), acceptorClock.Add(s.dialerStops)
			stamp := dialer.PeerStamp(dialerClock)
			advance(s.there)
			fmt.Fprintf(&out, "  took %v, at most %v\n", s.there, acceptor.Transit(stamp, acceptorClock).Round(ms))
			reply := acceptor.Stamp(acceptorClock)
			advance(s.back)
			dialer.Observe(reply, dialerClock)
		}
	}
	k := New(time.Unix(1000, 0))
	k.Observe(0, time.Unix(1001, 0))
	fmt.Fprintf(&out, "without stamps\n  at most %v\n", k.Transit(0, time.Unix(1001, 0)))
	goldie.New(t).Assert(t, "transit", []byte(out.String()))
}
