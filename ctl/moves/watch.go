package moves

import (
	"fmt"
	"time"

	"wisteriaspoke.example/ctl/core"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/rollout"
)

// pollInterval is the time between two requests for the state of a move, which does not change more often.
const pollInterval = time.Second

// deadlineGrace is how long after a move's deadline the command goes on polling if requests fail as unavailable.
const deadlineGrace = time.Minute

type watch struct {
	Service string `arg:"" help:"Name of the service."`
}

func (c *watch) Run(s *core.Session) error {
	m, raw, err := getMove(s, c.Service)
	if err != nil {
		return err
	}
	id := m.ID()
	p := progress{session: s}
	for {
		p.update(m, s.Now())
		if m.Finished() {
			return c.finish(s, p, m, raw)
		}
		s.Pause(pollInterval)
		next, answer, err := getMove(s, c.Service)
		switch {
		case err == nil && next.ID() != id:
			p.endLine()
			return fault.New(fault.Conflict, "another move of "+c.Service+" replaced this one", "run wisteriaspoke moves show "+c.Service)
		case err == nil:
			m, raw = next, answer
		case fault.KindOf(err) != fault.Unavailable || s.Now().After(m.Deadline().Add(deadlineGrace)):
			p.endLine()
			return err
		default:
			p.printLine("no answer, trying again")
		}
	}
}

func (c *watch) finish(s *core.Session, p progress, m rollout.Rollout, raw []byte) error {
	p.endLine()
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

// progress shows the state of a move. On a terminal it rewrites one line; otherwise it writes a line for each change.
type progress struct {
	session  *core.Session
	lastText string
}

func (p *progress) update(m rollout.Rollout, now time.Time) {
	text := fmt.Sprintf("%s to %s: %s at %s", m.Service(), m.To(), stateText(m), formatPercent(m.Share()))
	if m.Reason() != "" {
		text += "; " + m.Reason()
	}
	if m.NextStep() != "" {
		text += "; next: " + m.NextStep()
	}
	if p.session.Terminal && !m.Finished() {
		text += fmt.Sprintf("; %s left", m.Deadline().Sub(now).Round(time.Second))
	}
	p.printLine(text)
}

func (p *progress) printLine(text string) {
	if p.session.JSON || text == p.lastText {
		return
	}
	p.lastText = text
	if p.session.Terminal {
		fmt.Fprintf(p.session.Out, "\r\x1b[K%s", text)
		return
	}
	p.session.PrintLine("%s", text)
}

// endLine keeps the last line on a terminal, so that further output starts on a new one.
func (p *progress) endLine() {
	if p.session.Terminal && p.lastText != "" {
		p.session.PrintLine("")
	}
}
