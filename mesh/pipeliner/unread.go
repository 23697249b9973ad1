package pipeliner

import (
	"bufio"
	"net/http"
	"time"

	"wisteriaspoke.example/mesh/evictor"
	"wisteriaspoke.example/mesh/holder"
	"wisteriaspoke.example/mesh/prober"
)

const (
	// pieceBytes is the size of the pieces in which a large answer is written, to know how much of it was read.
	pieceBytes = 64 << 10
	// hardFactor is the multiple of MaxUnread above which a connection with several unread answers is dropped at once.
	hardFactor = 1.5
)

// inMemory is the body of an answer that is in memory as a whole.
type inMemory interface {
	// Bytes returns the whole body.
	Bytes() []byte
}

// count counts an answer of the size as unread. Large answers have a hold and are not counted beside it.
func (p *Pipeliner) count(size int64) {
	own := p.unread.Add(size)
	if size > holder.CountedFrom {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		if p.held++; p.held == 1 {
			p.heldSince = time.Now()
		}
		return
	}
	if total := p.Unread.Add(size); p.MaxUnread > 0 && total > p.MaxUnread {
		p.Reclaim()
		if own > size && float64(total) > hardFactor*float64(p.MaxUnread) {
			p.Drop()
		}
	}
}

// uncount ends what count began.
func (p *Pipeliner) uncount(size int64) {
	p.unread.Add(-size)
	if size <= holder.CountedFrom {
		p.Unread.Add(-size)
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.held--
}

// beginWriting notes that the answer to x is written from now on. A caller that sends requests ahead, or that reads a large
// answer, may still have to read what the system holds of earlier answers.
func (p *Pipeliner) beginWriting(x *exchange, now time.Time) {
	before := int64(0)
	if x.behind || p.wroteLarge {
		before = prober.Unacknowledged(p.Conn)
	}
	p.wroteLarge = p.wroteLarge || x.response.ContentLength > holder.CountedFrom
	p.before.Store(before)
	p.written.Store(0)
	p.writingSince.Store(now.UnixNano())
}

// endWriting ends what beginWriting began. Large answers that are held behind the answer could not be read until now.
func (p *Pipeliner) endWriting() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.held > 0 {
		p.heldSince = time.Now()
	}
	p.writingSince.Store(0)
}

// writeLarge writes an answer with the body in pieces, without a copy of it.
func (p *Pipeliner) writeLarge(w *bufio.Writer, r *http.Response, body []byte) error {
	head := *r
	// The head of an answer to HEAD is that of the answer, and ends there.
	head.Body, head.Request = nil, &http.Request{Method: http.MethodHead}
	if err := head.Write(w); err != nil {
		return err
	}
	for len(body) > 0 {
		n, err := w.Write(body[:min(len(body), pieceBytes)])
		p.written.Add(int64(n))
		if err != nil {
			return err
		}
		body = body[n:]
	}
	return w.Flush()
}

// State returns what the connection is doing.
func (p *Pipeliner) State() evictor.Connection {
	if since := p.writingSince.Load(); since != 0 {
		// What the system holds for the caller is not read; without this, a caller that reads nothing seems to be fast.
		return evictor.Reading(time.Unix(0, since), max(0, p.before.Load()+p.written.Load()-prober.Unacknowledged(p.Conn)))
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.held > 0 {
		return evictor.Reading(p.heldSince, 0)
	}
	if p.unended == 0 && p.waiting == forRequest {
		return evictor.Idle(p.idleSince)
	}
	return evictor.Busy()
}

// Drop closes the connection at once, without what the caller has not read.
func (p *Pipeliner) Drop() {
	if c, ok := p.Conn.(interface{ SetLinger(seconds int) error }); ok && p.writingSince.Load() != 0 {
		// The error is ignored: the connection may be closed.
		_ = c.SetLinger(0)
	}
	p.Conn.Close()
	p.mutex.Lock()
	cancel := p.cancel
	p.mutex.Unlock()
	if cancel != nil {
		cancel()
	}
}
