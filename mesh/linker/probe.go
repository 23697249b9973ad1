package linker

import (
	"time"

	"github.com/fasthttp/websocket"

	"wisteriaspoke.example/mesh/fault"
)

// probe asks the peer for a sign of life if something depends on the link and nothing has arrived for a while, and
// returns a fault if an earlier question had no answer. Idle connections for calls are left alone: probing them costs
// more than what they carry.
func (l *link) probe(now time.Time) error {
	if l.purpose.carriesCalls() && l.outstanding.Load() == 0 {
		l.probed = time.Time{}
		return nil
	}
	heard := time.Unix(0, l.heard.Load())
	if l.probed.Before(heard) {
		l.probed = time.Time{}
	}
	patience := l.owner.LinkPing
	if l.purpose == control {
		// Messages come at least as often as this, as long as both ends live.
		patience = l.owner.LinkSilence
		if l.compress {
			patience = l.owner.LinkFar
		}
	}
	switch {
	case l.probed.IsZero() && now.Sub(heard) < patience:
		return nil
	case l.probed.IsZero():
		l.probed = now
	case now.Sub(l.probed) > l.owner.LinkSilence:
		return fault.New(fault.Unavailable, "nothing has arrived on the link since "+now.Sub(heard).String(), "")
	}
	return l.conn.WriteControl(websocket.PingMessage, nil, now.Add(writeTimeout))
}

// hear notes that something has arrived.
func (l *link) hear() { l.heard.Store(time.Now().UnixNano()) }
