package status

import (
	"fmt"
	"io"
	"time"

	"wisteriaspoke.example/ctl/core"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/report"
)

func init() {
	core.Register("status", 30, "Show which version is in force in each data centre.", func() any { return &Status{} })
}

const (
	// interval is the time between two looks while waiting; relays report each second.
	interval = 500 * time.Millisecond
	// freshness is the age in milliseconds up to which a report counts as heard: ten missed reports.
	freshness = 10_000
)

// Status is the command "status".
type Status struct {
	Wait   bool          `help:"Wait until the version in force is in force on all nodes heard."`
	Within time.Duration `help:"Limit of the wait." default:"2m"`
}

type condition struct {
	Source  string   `json:"source"`
	Preset  string   `json:"preset"`
	Version uint64   `json:"version"`
	Reports []centre `json:"reports"`
}

type centre struct {
	Name     string           `json:"centre"`
	Age      int64            `json:"age"`
	Stored   int64            `json:"stored"`
	Newest   uint64           `json:"newest"`
	Nodes    map[uint64]int   `json:"nodes"`
	Laggards []report.Laggard `json:"laggards"`
	Error    string           `json:"error"`
}

// counts returns how many nodes have the version or a newer one, and how many have not.
func (c centre) counts(version uint64) (in, behind int) {
	for v, n := range c.Nodes {
		if v >= version {
			in += n
		} else {
			behind += n
		}
	}
	return in, behind
}

func (c centre) heard() bool { return c.Error == "" && c.Age <= freshness }

// Run shows the status, after a wait if that is asked for.
func (c *Status) Run(s *core.Session) error {
	seen, raw, err := get(s)
	if err != nil {
		return err
	}
	if c.Wait && seen.Version == 0 {
		return fault.New(fault.NotFound, "no preset is in force", "run wisteriaspoke presets use NAME first")
	}
	// Later versions count as well, since a rollout may change the version while this waits.
	version := seen.Version
	limit := s.Now().Add(c.Within)
	for c.Wait && !everywhere(seen, version) {
		if !s.Now().Before(limit) {
			if err := show(s, seen, raw); err != nil {
				return err
			}
			return fmt.Errorf("version %d is not in force on all nodes heard after %s; see the nodes behind", version, c.Within)
		}
		s.Pause(interval)
		next, answer, err := get(s)
		if fault.KindOf(err) == fault.Unavailable && s.Now().Before(limit) {
			continue
		}
		if err != nil {
			return err
		}
		seen, raw = next, answer
	}
	return show(s, seen, raw)
}

func get(s *core.Session) (condition, []byte, error) {
	var c condition
	raw, err := s.Get("/v1/status", nil, &c)
	return c, raw, err
}

// everywhere reports whether every node of the data centres heard has the version; none heard proves nothing.
func everywhere(c condition, version uint64) bool {
	nodes := 0
	for _, r := range c.Reports {
		if !r.heard() {
			continue
		}
		in, behind := r.counts(version)
		if behind > 0 || r.Newest < version {
			return false
		}
		nodes += in
	}
	return nodes > 0
}

func show(s *core.Session, c condition, raw []byte) error {
	return s.Print(raw, func(w io.Writer) {
		head(w, c)
		fmt.Fprintln(w, "CENTRE\tNEWEST\tIN FORCE\tBEHIND\tREPORT AGE\tSTORE HEARD\tNOTE")
		for _, r := range c.Reports {
			in, behind := r.counts(c.Version)
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t%s ago\t%s\n", r.Name, r.Newest, in, behind, core.Age(r.Age), core.Age(r.Stored), note(r))
		}
		for _, r := range c.Reports {
			for _, l := range r.Laggards {
				fmt.Fprintf(w, "node %s in %s has version %d: %s\n", l.Node, r.Name, l.Version, reason(l))
			}
		}
	})
}

func head(w io.Writer, c condition) {
	switch {
	case c.Source == "node":
		fmt.Fprintf(w, "the store is out; the newest version that this node heard of is %d\n\n", c.Version)
	case c.Version == 0:
		fmt.Fprint(w, "no preset is in force\n\n")
	default:
		fmt.Fprintf(w, "preset %s is in force as version %d\n\n", c.Preset, c.Version)
	}
}

func note(r centre) string {
	switch {
	case r.Error != "":
		return "unreadable: " + r.Error
	case !r.heard():
		return "not heard"
	}
	return "heard"
}

func reason(l report.Laggard) string {
	if l.Reason == "" {
		return "not yet applied"
	}
	return l.Reason
}
