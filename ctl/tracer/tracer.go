package tracer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the size of the longest log line that can be read.
const maxLineBytes = 1 << 20

// entry is one log line of a node; its tags are the keys in the log.
type entry struct {
	Node                string    `json:"node"`
	Time                time.Time `json:"time"`
	Message             string    `json:"msg"`
	ID                  string    `json:"id"`
	Rule                string    `json:"rule,omitempty"`
	Service             string    `json:"service,omitempty"`
	Status              int       `json:"status,omitempty"`
	Ran                 string    `json:"ran,omitempty"`
	Reason              string    `json:"reason,omitempty"`
	Action              string    `json:"action,omitempty"`
	Peer                string    `json:"peer,omitempty"`
	Instance            string    `json:"instance,omitempty"`
	Tier                string    `json:"tier,omitempty"`
	Outstanding         int       `json:"outstanding,omitempty"`
	Slots               int       `json:"slots,omitempty"`
	Sends               int       `json:"sends,omitempty"`
	Took                int64     `json:"took,omitempty"`     // milliseconds
	ServiceTime         int64     `json:"upstream,omitempty"` // milliseconds at the upstream
	ExpectedServiceTime int64     `json:"expected,omitempty"` // milliseconds
	LatestStart         int64     `json:"start,omitempty"`    // milliseconds until the latest start within the objective
	TimeLeft            int64     `json:"left,omitempty"`     // milliseconds until the deadline
	Version             any       `json:"version,omitempty"`
	Host                string    `json:"host,omitempty"`
	Path                string    `json:"path,omitempty"`
}

// Tracer collects the log lines of one request and of the calls made while it was processed; the identifiers of these
// calls begin with the request's.
type Tracer struct {
	id      string
	entries []entry
}

// New returns a tracer of the request with this identifier; it holds no lines yet.
func New(id string) *Tracer { return &Tracer{id: id} }

// Read adds the lines of one node's log. It skips text before a line's JSON, which log collectors may insert.
func (t *Tracer) Read(node string, log io.Reader) error {
	s := bufio.NewScanner(log)
	s.Buffer(make([]byte, 64<<10), maxLineBytes)
	for s.Scan() {
		line := s.Bytes()
		if !bytes.Contains(line, []byte(t.id)) {
			continue
		}
		e := entry{Node: node}
		if start := bytes.IndexByte(line, '{'); start < 0 || json.Unmarshal(line[start:], &e) != nil {
			// Other programs may write between a node's lines.
			continue
		}
		if e.ID == t.id || strings.HasPrefix(e.ID, t.id+".") {
			t.entries = append(t.entries, e)
		}
	}
	return s.Err()
}

// Lines returns the lines ordered by time, with tabs between columns.
func (t *Tracer) Lines() []string {
	t.sort()
	var out []string
	for _, e := range t.entries {
		first := t.entries[0].Time
		out = append(out, strings.Join([]string{
			fmt.Sprintf("%+d ms", e.Time.Sub(first).Milliseconds()), e.Node,
			strings.TrimPrefix(e.ID, t.id), e.Message, e.details(),
		}, "\t"))
	}
	return out
}

// Entries returns the lines ordered by time, for encoding as JSON.
func (t *Tracer) Entries() any {
	t.sort()
	return t.entries
}

func (t *Tracer) sort() {
	slices.SortStableFunc(t.entries, func(a, b entry) int { return a.Time.Compare(b.Time) })
}

// details returns the keys and values of a line that are set, in a fixed order.
func (e entry) details() string {
	var fields []string
	add := func(name string, value any, present bool) {
		if present {
			fields = append(fields, fmt.Sprintf("%s %v", name, value))
		}
	}
	add("status", e.Status, e.Status != 0)
	add("ran", e.Ran, e.Ran != "")
	add("action", e.Action, e.Action != "")
	add("reason", e.Reason, e.Reason != "")
	add("instance", e.Instance, e.Instance != "")
	add("tier", e.Tier, e.Tier != "")
	add("outstanding", fmt.Sprintf("%d/%d", e.Outstanding, e.Slots), e.Slots != 0)
	add("took", e.Took, e.Took != 0)
	add("upstream", e.ServiceTime, e.ServiceTime != 0)
	add("expected", e.ExpectedServiceTime, e.ExpectedServiceTime != 0)
	add("start", e.LatestStart, e.LatestStart != 0)
	add("left", e.TimeLeft, e.TimeLeft != 0)
	return strings.Join(fields, ", ")
}

// Summary returns in a sentence or two how the request ended and why.
func (t *Tracer) Summary() string {
	t.sort()
	return t.summarise(t.id, 0)
}

// maxCallDepth limits how deeply nested calls a summary follows.
const maxCallDepth = 3

func (t *Tracer) summarise(id string, depth int) string {
	var outcome *entry
	for i := range t.entries {
		e := &t.entries[i]
		if e.ID == id && (e.Message == "request answered" || e.Message == "request failed" || e.Message == "request refused") {
			outcome = e
		}
	}
	switch {
	case outcome == nil:
		return "No line tells how " + id + " ended: its node did not get it whole, or was killed before it ended."
	case outcome.Message == "request refused":
		return fmt.Sprintf("It was refused with %d before it was routed (%s %s): %s.",
			outcome.Status, outcome.Host, outcome.Path, outcome.Reason)
	case outcome.Message == "request answered" && outcome.Status < 500:
		return fmt.Sprintf("%s answered %d after %d ms, %d of them at the endpoint, where %d are usual.",
			outcome.Instance, outcome.Status, outcome.Took, outcome.ServiceTime, outcome.ExpectedServiceTime)
	case outcome.Message == "request answered":
		return fmt.Sprintf("The endpoint %s itself answered %d.%s",
			outcome.Instance, outcome.Status, t.failedCall(id, outcome, depth))
	}
	return t.describeFailure(id, outcome)
}

// failedCall returns why the first failed call that the endpoint made failed, or that none had failed.
func (t *Tracer) failedCall(id string, outcome *entry, depth int) string {
	if depth >= maxCallDepth {
		return ""
	}
	for _, e := range t.entries {
		child := strings.HasPrefix(e.ID, id+".")
		failed := e.Message == "request failed" || e.Message == "request answered" && e.Status >= 500
		if child && failed && !e.Time.After(outcome.Time) {
			return fmt.Sprintf(" Its call %s to %s had failed: %s",
				strings.TrimPrefix(e.ID, id), e.Service, t.summarise(e.ID, depth+1))
		}
	}
	return " None of its calls had failed before, so the cause is in the endpoint."
}

// describeFailure returns why a request ended without a response of an endpoint.
func (t *Tracer) describeFailure(id string, outcome *entry) string {
	refusals := map[string]int{}
	objectivePassed := false
	for _, e := range t.entries {
		if e.ID == id && e.Message == "call refused" {
			refusals[e.Reason]++
			objectivePassed = objectivePassed || e.LatestStart < 0
		}
	}
	timeAndSends := fmt.Sprintf("after %d ms and %d sends", outcome.Took, outcome.Sends)
	switch outcome.Reason {
	case "full", "late", "crowd":
		n := refusals["full"] + refusals["late"]
		s := fmt.Sprintf("Refused with %d %s: no slot of %s in time (%d endpoints refused; the last had %d calls for %d slots).",
			outcome.Status, timeAndSends, outcome.Service, n, outcome.Outstanding, outcome.Slots)
		if objectivePassed {
			s += " Its objective had passed when it came, so it did not wait in front of others."
		}
		return s
	case "rate":
		return fmt.Sprintf("Refused with %d %s: endpoints of %s take no more calls a second (%d refused by the limit that they name).",
			outcome.Status, timeAndSends, outcome.Service, refusals["rate"])
	case "heldup":
		return fmt.Sprintf("Refused with %d %s: it was held up on the link with the node of %s (%s), and nothing showed in time that its caller still waited.",
			outcome.Status, timeAndSends, outcome.Instance, outcome.Tier)
	case "body-full", "body-late":
		return fmt.Sprintf("Refused with %d %s: no room in time for its body on the ways to the hosts of %s.",
			outcome.Status, timeAndSends, outcome.Service)
	case "outflow":
		return fmt.Sprintf("Refused with %d %s: its answer could not leave the hosts of %s in time, by the rate of their links.",
			outcome.Status, timeAndSends, outcome.Service)
	case "unsent":
		return fmt.Sprintf("%s (%s) ran it, but its answer could not leave that host before the deadline, %s.",
			outcome.Instance, outcome.Tier, timeAndSends)
	case "poison":
		return fmt.Sprintf("Refused with %d %s: requests like it have crashed endpoints three times in a row or more.",
			outcome.Status, timeAndSends)
	case "none":
		return fmt.Sprintf("Refused with %d %s: no further endpoint of %s was known.",
			outcome.Status, timeAndSends, outcome.Service)
	case "leaving", "misrouted", "absent", "suspect", "down", "moved", "shed":
		return fmt.Sprintf("Refused with %d %s: the last endpoint of %s was not to be used (%s).",
			outcome.Status, timeAndSends, outcome.Service, outcome.Reason)
	case "timeout":
		return fmt.Sprintf("No answer of %s (%s) by the deadline, %s; %d ms are usual there.%s",
			outcome.Instance, outcome.Tier, timeAndSends, outcome.ExpectedServiceTime, t.timeSpent(id, outcome))
	case "left":
		return fmt.Sprintf("Its caller hung up %s, while %s (%s) worked on it.",
			timeAndSends, outcome.Instance, outcome.Tier)
	case "lost", "garbled":
		return fmt.Sprintf("%s (%s) broke the answer off or sent no valid one (%s) %s, and it may have run.",
			outcome.Instance, outcome.Tier, outcome.Reason, timeAndSends)
	case "link":
		return fmt.Sprintf("The link with the node of %s (%s) failed %s.", outcome.Instance, outcome.Tier, timeAndSends)
	}
	return fmt.Sprintf("It ended with %d %s: %s.", outcome.Status, timeAndSends, outcome.Reason)
}

// timeSpent returns where the request spent its time, judging by the lines of the endpoint's node and of its calls.
func (t *Tracer) timeSpent(id string, outcome *entry) string {
	for _, e := range t.entries {
		if e.ID == id && e.Message == "call failed at the upstream" && e.Instance == outcome.Instance {
			return fmt.Sprintf(" The endpoint had it for %d ms.", e.Took)
		}
	}
	for _, e := range t.entries {
		if strings.HasPrefix(e.ID, id+".") {
			return " The endpoint was at work on it, as it made calls of its own."
		}
	}
	return " The endpoint's node has no line on it: it waited on the way or for a slot."
}
