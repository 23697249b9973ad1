package moves

import (
	"fmt"
	"time"

	"wisteriaspoke.example/ctl/core"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/rollout"
)

// interval is the time between two looks at a move, whose holder changes it no faster.
const interval = time.Second

// patience is how long after the end of a move, as planned, its outcome is still asked for.
const patience = time.Minute

type watch struct {
	Service string `arg:"" help:"Name of the service."`
}

func (c *watch) Run(s *core.Session) error {
	m, raw, err := get(s, c.Service)
	if err != nil {
		return err
	}
	id := m.ID()
	p := progress{session: s}
	for {
		p.show(m, s.Now())
		if m.Finished() {
			return c.end(s, p, m, raw)
		}
		s.Pause(interval)
		next, answer, err := get(s, c.Service)
		switch {
		case err == nil && next.ID() != id:
			p.end()
			return fault.New(fault.Conflict, "another move of "+c.Service+" replaced this one", "run wisteriaspoke moves show "+c.Service)
		case err == nil:
			m, raw = next, answer
		case fault.KindOf(err) != fault.Unavailable || s.Now().After(m.Deadline().Add(patience)):
			p.end()
			return err
		default:
			p.line("no answer, trying again")
		}
	}
}

func (c *watch) end(s *core.Session, p progress, m rollout.Rollout, raw []byte) error {
	p.end()
	if s.JSON {
		if _, err := s.Out.Write(raw); err != nil {
			return err
		}
	}
	if m.State() == rollout.TakenBack {
		return fmt.Errorf("%w: %s", core.ErrTakenBack, m.Reason())
	}
	return nil
}

// progress shows one line that is rewritten on a terminal, or one line for each change elsewhere.
type progress struct {
	session *core.Session
	last    string
}

func (p *progress) show(m rollout.Rollout, now time.Time) {
	text := fmt.Sprintf("%s to %s: %s at %s", m.Service(), m.To(), state(m), percent(m.Share()))
	if m.Reason() != "" {
		text += "; " + m.Reason()
	}
	if m.NextStep() != "" {
		text += "; next: " + m.NextStep()
	}
	if p.session.Terminal && !m.Finished() {
		text += fmt.Sprintf("; %s left", m.Deadline().Sub(now).Round(time.Second))
	}
	p.line(text)
}

func (p *progress) line(text string) {
	if p.session.JSON || text == p.last {
		return
	}
	p.last = text
	if p.session.Terminal {
		fmt.Fprintf(p.session.Out, "\r\x1b[K%s", text)
		return
	}
	p.session.Line("%s", text)
}

// end leaves the last line standing.
func (p *progress) end() {
	if p.session.Terminal && p.last != "" {
		p.session.Line("")
	}
}
