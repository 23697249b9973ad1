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
	// pollInterval is the time between two status requests while waiting; relays report every second.
	pollInterval = 500 * time.Millisecond
	// maxReportAgeMillis is the age above which a report is ignored: relays report every second, and ten reports may be
	// missed.
	maxReportAgeMillis = 10_000
)

// Status is the command "status".
type Status struct {
	Wait   bool          `help:"Wait until the version in force is in force on all nodes heard."`
	Within time.Duration `help:"Limit of the wait." default:"2m"`
}

// meshStatus is the answer of the operators' API.
type meshStatus struct {
	Source  string         `json:"source"`
	Preset  string         `json:"preset"`
	Version uint64         `json:"version"`
	Reports []centreReport `json:"reports"`
}

// centreReport counts the nodes of a data centre by version and lists those with an older version.
type centreReport struct {
	Name     string           `json:"centre"`
	Age      int64            `json:"age"`    // milliseconds
	StoreAge int64            `json:"stored"` // milliseconds since the store confirmed the newest version
	Newest   uint64           `json:"newest"`
	Nodes    map[uint64]int   `json:"nodes"` // by version
	Laggards []report.Laggard `json:"laggards"`
	Error    string           `json:"error"`
}

// countNodes returns how many nodes have the version or a newer one, and how many have an older one.
func (c centreReport) countNodes(version uint64) (inForce, behind int) {
	for v, n := range c.Nodes {
		if v >= version {
			inForce += n
		} else {
			behind += n
		}
	}
	return inForce, behind
}

func (c centreReport) isRecent() bool { return c.Error == "" && c.Age <= maxReportAgeMillis }

// Run prints the status; with --wait it first waits until the version is in force on all nodes.
func (c *Status) Run(s *core.Session) error {
	current, raw, err := getStatus(s)
	if err != nil {
		return err
	}
	if c.Wait && current.Version == 0 {
		return fault.New(fault.NotFound, "no preset is in force", "run wisteriaspoke presets use NAME first")
	}
	// Later versions also end the wait, since a rollout may put one in force during it.
	version := current.Version
	deadline := s.Now().Add(c.Within)
	for c.Wait && !inForceEverywhere(current, version) {
		if !s.Now().Before(deadline) {
			if err := printStatus(s, current, raw); err != nil {
				return err
			}
			return fmt.Errorf("version %d is not in force on all nodes heard after %s; see the nodes behind", version, c.Within)
		}
		s.Pause(pollInterval)
		next, answer, err := getStatus(s)
		if fault.KindOf(err) == fault.Unavailable && s.Now().Before(deadline) {
			continue
		}
		if err != nil {
			return err
		}
		current, raw = next, answer
	}
	return printStatus(s, current, raw)
}

func getStatus(s *core.Session) (meshStatus, []byte, error) {
	var c meshStatus
	raw, err := s.Get("/v1/status", nil, &c)
	return c, raw, err
}

// inForceEverywhere reports whether all nodes of the data centres with a recent report have the version. It is false if
// no report is recent.
func inForceEverywhere(c meshStatus, version uint64) bool {
	nodes := 0
	for _, r := range c.Reports {
		if !r.isRecent() {
			continue
		}
		inForce, behind := r.countNodes(version)
		if behind > 0 || r.Newest < version {
			return false
		}
		nodes += inForce
	}
	return nodes > 0
}

func printStatus(s *core.Session, c meshStatus, raw []byte) error {
	return s.Print(raw, func(w io.Writer) {
		writeHeading(w, c)
		fmt.Fprintln(w, "CENTRE\tNEWEST\tIN FORCE\tBEHIND\tREPORT AGE\tSTORE HEARD\tNOTE")
		for _, r := range c.Reports {
			inForce, behind := r.countNodes(c.Version)
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t%s ago\t%s\n",
				r.Name, r.Newest, inForce, behind, core.FormatMillis(r.Age), core.FormatMillis(r.StoreAge), noteText(r))
		}
		for _, r := range c.Reports {
			for _, l := range r.Laggards {
				fmt.Fprintf(w, "node %s in %s has version %d: %s\n", l.Node, r.Name, l.Version, laggardReason(l))
			}
		}
	})
}

func writeHeading(w io.Writer, c meshStatus) {
	switch {
	case c.Source == "node":
		fmt.Fprintf(w, "the store is out; the newest version that this node heard of is %d\n\n", c.Version)
	case c.Version == 0:
		fmt.Fprint(w, "no preset is in force\n\n")
	default:
		fmt.Fprintf(w, "preset %s is in force as version %d\n\n", c.Preset, c.Version)
	}
}

func noteText(r centreReport) string {
	switch {
	case r.Error != "":
		return "unreadable: " + r.Error
	case !r.isRecent():
		return "not heard"
	}
	return "heard"
}

func laggardReason(l report.Laggard) string {
	if l.Reason == "" {
		return "not yet applied"
	}
	return l.Reason
}
