package linker

import (
	"time"

	"github.com/fasthttp/websocket"

	"wisteriaspoke.example/mesh/fault"
)

// abandonedAfter is the silence after which an accepted link for calls seems abandoned: its dialer closes a link that
// has had no calls between two checks.
const abandonedAfter = 3 * idleCheckInterval

// checkAlive pings the peer if the link is in use and nothing has arrived for a while, and returns a fault if an
// earlier ping had no answer in time. Idle connections for calls are not checked before they seem abandoned: pinging
// them costs more than their traffic.
func (l *link) checkAlive(now time.Time) error {
	lastReceived := time.Unix(0, l.lastReceived.Load())
	if l.purpose.carriesCalls() && l.outstanding.Load() == 0 && !l.doubtful(lastReceived, now) {
		l.pingedAt = time.Time{}
		return nil
	}
	if l.pingedAt.Before(lastReceived) {
		l.pingedAt = time.Time{}
	}
	idleLimit := l.owner.LinkPing
	if l.purpose == control {
		// While both ends are alive, messages arrive at shorter intervals than these.
		idleLimit = l.owner.LinkSilence
		if l.crossRegion {
			idleLimit = l.owner.LinkFar
		}
	}
	switch {
	case l.pingedAt.IsZero() && now.Sub(lastReceived) < idleLimit:
		return nil
	case l.pingedAt.IsZero():
		l.pingedAt = now
	case now.Sub(l.pingedAt) > l.owner.LinkSilence:
		return fault.New(fault.Unavailable, "nothing has arrived on the link since "+now.Sub(lastReceived).String(), "")
	}
	return l.conn.WriteControl(websocket.PingMessage, nil, now.Add(writeTimeout))
}

// doubtful reports whether an idle link for calls has to be probed: it seems abandoned, or the node's drain has begun,
// which waits for the peer's confirmation.
func (l *link) doubtful(lastReceived, now time.Time) bool {
	return !l.dialed && (l.owner.draining.Load() || now.Sub(lastReceived) > abandonedAfter)
}

// markReceived records the time at which something has arrived.
func (l *link) markReceived() { l.lastReceived.Store(time.Now().UnixNano()) }
