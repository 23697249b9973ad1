package moves

import (
	"fmt"
	"io"
	"net/url"
	"time"

	"wisteriaspoke.example/ctl/core"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/rollout"
)

func init() {
	core.Register("moves", 20, "Move services to new versions.", func() any { return &Moves{} })
}

// Moves is the command "moves".
type Moves struct {
	Start    start    `cmd:"" help:"Ask for the move of a service to a new version."`
	List     list     `cmd:"" help:"List the moves, one for each service."`
	Show     show     `cmd:"" help:"Show a move with its evidence."`
	Watch    watch    `cmd:"" help:"Wait until a move is done (exit code 0) or taken back (exit code 3)."`
	TakeBack takeBack `cmd:"" name:"takeback" help:"Ask to give all calls back to the old version."`
}

type start struct {
	Service string        `arg:"" help:"Name of the service."`
	Version string        `arg:"" help:"Version to move to."`
	By      string        `required:"" help:"Deadline, as a duration from now (90m) or as a time (2026-01-02T15:04:05Z)." placeholder:"DURATION|TIME"`
	Settle  time.Duration `help:"How long the old version stays able to take all calls back; a tenth of the time to the deadline unless set."`
}

func (c *start) Run(s *core.Session) error {
	by, err := parseDeadline(c.By, s.Now())
	if err != nil {
		return err
	}
	body := map[string]any{"service": c.Service, "version": c.Version, "deadline": by, "settle": c.Settle.Milliseconds()}
	var m rollout.Rollout
	raw, err := s.Send("POST", "/v1/rollouts", body, &m)
	if err != nil {
		return err
	}
	return s.Print(raw, func(w io.Writer) {
		fmt.Fprintf(w, "accepted: %s moves from %s to %s by %s; wisteriaspoke moves watch %s tells when it is done\n",
			m.Service(), m.From(), m.To(), m.Deadline().Format(time.RFC3339), m.Service())
	})
}

// parseDeadline parses a duration from now or a time in RFC 3339.
func parseDeadline(text string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(d), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, fault.New(fault.Invalid, fmt.Sprintf("--by is %q", text), "write a duration such as 90m or a time such as 2026-01-02T15:04:05Z")
	}
	return t, nil
}

type list struct{}

func (c *list) Run(s *core.Session) error {
	var answer struct {
		Rollouts []rollout.Rollout `json:"rollouts"`
	}
	raw, err := s.Get("/v1/rollouts", nil, &answer)
	if err != nil {
		return err
	}
	return s.Print(raw, func(w io.Writer) {
		fmt.Fprintln(w, "SERVICE\tFROM\tTO\tSTATE\tSHARE\tDEADLINE\tREASON")
		for _, m := range answer.Rollouts {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Service(), m.From(), m.To(), stateText(m), formatPercent(m.Share()),
				m.Deadline().Format(time.RFC3339), m.Reason())
		}
	})
}

// stateText returns the state of a move, with a note if an operator's request to take it back is still pending.
func stateText(m rollout.Rollout) string {
	if m.CancelRequested() && !m.Finished() {
		return string(m.State()) + ", to be taken back"
	}
	return string(m.State())
}

func formatPercent(permille int) string { return fmt.Sprintf("%d.%d%%", permille/10, permille%10) }

func getMove(s *core.Session, service string) (rollout.Rollout, []byte, error) {
	var m rollout.Rollout
	raw, err := s.Get("/v1/rollouts/"+url.PathEscape(service), nil, &m)
	return m, raw, err
}

type show struct {
	Service string `arg:"" help:"Name of the service."`
}

func (c *show) Run(s *core.Session) error {
	m, raw, err := getMove(s, c.Service)
	if err != nil {
		return err
	}
	return s.Print(raw, func(w io.Writer) { writeMove(w, m) })
}

func writeMove(w io.Writer, m rollout.Rollout) {
	fmt.Fprintf(w, "move\t%s\n", m.ID())
	fmt.Fprintf(w, "service\t%s from %s to %s\n", m.Service(), m.From(), m.To())
	fmt.Fprintf(w, "state\t%s since %s\n", stateText(m), m.ChangedAt().Format(time.RFC3339))
	fmt.Fprintf(w, "share\t%s\n", formatPercent(m.Share()))
	fmt.Fprintf(w, "deadline\t%s\n", m.Deadline().Format(time.RFC3339))
	fmt.Fprintf(w, "settle time\t%s\n", m.Settle())
	fmt.Fprintf(w, "reason\t%s\n", m.Reason())
	fmt.Fprintf(w, "next\t%s\n", m.NextStep())
	if len(m.Evidence()) == 0 {
		return
	}
	fmt.Fprintln(w, "\nROUTE\tNEW CALLS\tNEW FAILURES\tOLD CALLS\tOLD FAILURES\tVERDICT")
	for _, e := range m.Evidence() {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\n", e.Route, e.NewCalls, e.NewFailures, e.OldCalls, e.OldFailures, e.Verdict)
	}
}

type takeBack struct {
	Service string `arg:"" help:"Name of the service."`
}

func (c *takeBack) Run(s *core.Session) error {
	var m rollout.Rollout
	raw, err := s.Send("POST", "/v1/rollouts/"+url.PathEscape(c.Service)+"/takeback", nil, &m)
	if err != nil {
		return err
	}
	return s.Print(raw, func(w io.Writer) {
		fmt.Fprintf(w, "accepted: the move of %s to %s will be taken back; wisteriaspoke moves watch %s tells when it is\n", m.Service(), m.To(), m.Service())
	})
}
