package linker

import (
	"time"

	"github.com/fasthttp/websocket"

	"wisteriaspoke.example/mesh/fault"
)

// checkAlive pings the peer if the link is in use and nothing has arrived for a while, and returns a fault if an
// earlier ping had no answer in time. Idle connections for calls are not checked: pinging them costs more than their
// traffic.
func (l *link) checkAlive(now time.Time) error {
	if l.purpose.carriesCalls() && l.outstanding.Load() == 0 {
		l.pingedAt = time.Time{}
		return nil
	}
	lastReceived := time.Unix(0, l.lastReceived.Load())
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

// markReceived records the time at which something has arrived.
func (l *link) markReceived() { l.lastReceived.Store(time.Now().UnixNano()) }
