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

// maxLine bounds one log line.
const maxLine = 1 << 20

// entry is one log line of a node.
type entry struct {
	Node        string    `json:"node"`
	Time        time.Time `json:"time"`
	Message     string    `json:"msg"`
	ID          string    `json:"id"`
	Rule        string    `json:"rule,omitempty"`
	Service     string    `json:"service,omitempty"`
	Status      int       `json:"status,omitempty"`
	Ran         string    `json:"ran,omitempty"`
	Reason      string    `json:"reason,omitempty"`
	Action      string    `json:"action,omitempty"`
	Peer        string    `json:"peer,omitempty"`
	Instance    string    `json:"instance,omitempty"`
	Tier        string    `json:"tier,omitempty"`
	Outstanding int       `json:"outstanding,omitempty"`
	Slots       int       `json:"slots,omitempty"`
	Sends       int       `json:"sends,omitempty"`
	Took        int64     `json:"took,omitempty"`     // milliseconds
	Upstream    int64     `json:"upstream,omitempty"` // milliseconds at the upstream
	Expected    int64     `json:"expected,omitempty"` // usual milliseconds
	Start       int64     `json:"start,omitempty"`    // milliseconds until the latest start that meets the objective
	Left        int64     `json:"left,omitempty"`     // milliseconds until the deadline
	Version     any       `json:"version,omitempty"`
	Host        string    `json:"host,omitempty"`
	Path        string    `json:"path,omitempty"`
}

// Tracer collects the lines of one request and of the calls that its runs made, whose identifiers begin with the request's.
type Tracer struct {
	id      string
	entries []entry
}

// New returns a tracer of the request without lines.
func New(id string) *Tracer { return &Tracer{id: id} }

// Read takes the lines of one node's log. Text before a line's JSON, as log collectors put there, is skipped.
func (t *Tracer) Read(node string, log io.Reader) error {
	s := bufio.NewScanner(log)
	s.Buffer(make([]byte, 64<<10), maxLine)
	for s.Scan() {
		line := s.Bytes()
		if !bytes.Contains(line, []byte(t.id)) {
			continue
		}
		e := entry{Node: node}
		if at := bytes.IndexByte(line, '{'); at < 0 || json.Unmarshal(line[at:], &e) != nil {
			// Other programs may write between a node's lines.
			continue
		}
		if e.ID == t.id || strings.HasPrefix(e.ID, t.id+".") {
			t.entries = append(t.entries, e)
		}
	}
	return s.Err()
}

// Lines returns the lines in order of time, with tabs between columns.
func (t *Tracer) Lines() []string {
	t.sort()
	var out []string
	for _, e := range t.entries {
		first := t.entries[0].Time
		out = append(out, strings.Join([]string{
			fmt.Sprintf("%+d ms", e.Time.Sub(first).Milliseconds()), e.Node, strings.TrimPrefix(e.ID, t.id), e.Message, e.facts(),
		}, "\t"))
	}
	return out
}

// Entries returns the lines as JSON values in order of time.
func (t *Tracer) Entries() any {
	t.sort()
	return t.entries
}

func (t *Tracer) sort() {
	slices.SortStableFunc(t.entries, func(a, b entry) int { return a.Time.Compare(b.Time) })
}

// facts returns what a line says, in a fixed order.
func (e entry) facts() string {
	var fs []string
	add := func(name string, value any, there bool) {
		if there {
			fs = append(fs, fmt.Sprintf("%s %v", name, value))
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
	add("upstream", e.Upstream, e.Upstream != 0)
	add("expected", e.Expected, e.Expected != 0)
	add("start", e.Start, e.Start != 0)
	add("left", e.Left, e.Left != 0)
	return strings.Join(fs, ", ")
}

// Sentence returns how the request ended and why.
func (t *Tracer) Sentence() string {
	t.sort()
	return t.sentence(t.id, 0)
}

// maxDepth bounds the calls of calls that a sentence follows.
const maxDepth = 3

func (t *Tracer) sentence(id string, depth int) string {
	var end *entry
	for i := range t.entries {
		e := &t.entries[i]
		if e.ID == id && (e.Message == "request answered" || e.Message == "request failed" || e.Message == "request refused") {
			end = e
		}
	}
	switch {
	case end == nil:
		return "No line tells how " + id + " ended: its node did not get it whole, or was killed before it ended."
	case end.Message == "request refused":
		return fmt.Sprintf("It was refused with %d before it was routed (%s %s): %s.", end.Status, end.Host, end.Path, end.Reason)
	case end.Message == "request answered" && end.Status < 500:
		return fmt.Sprintf("%s answered %d after %d ms, %d of them at the endpoint, where %d are usual.", end.Instance, end.Status, end.Took, end.Upstream, end.Expected)
	case end.Message == "request answered":
		return fmt.Sprintf("The endpoint %s itself answered %d.%s", end.Instance, end.Status, t.calls(id, end, depth))
	}
	return t.failure(id, end)
}

// calls returns why the calls that the endpoint made failed, if some did.
func (t *Tracer) calls(id string, end *entry, depth int) string {
	if depth >= maxDepth {
		return ""
	}
	for _, e := range t.entries {
		child := strings.HasPrefix(e.ID, id+".")
		failed := e.Message == "request failed" || e.Message == "request answered" && e.Status >= 500
		if child && failed && !e.Time.After(end.Time) {
			return fmt.Sprintf(" Its call %s to %s had failed: %s", strings.TrimPrefix(e.ID, id), e.Service, t.sentence(e.ID, depth+1))
		}
	}
	return " None of its calls had failed before, so the cause is in the endpoint."
}

// failure returns why the mesh ended a request itself.
func (t *Tracer) failure(id string, end *entry) string {
	refusals := map[string]int{}
	late := false
	for _, e := range t.entries {
		if e.ID == id && e.Message == "call refused" {
			refusals[e.Reason]++
			late = late || e.Start < 0
		}
	}
	ms := fmt.Sprintf("after %d ms and %d sends", end.Took, end.Sends)
	switch end.Reason {
	case "full", "late", "crowd":
		n := refusals["full"] + refusals["late"]
		s := fmt.Sprintf("Refused with %d %s: no slot of %s in time (%d endpoints refused; the last had %d calls for %d slots).", end.Status, ms, end.Service, n, end.Outstanding, end.Slots)
		if late {
			s += " Its objective had passed when it came, so it did not wait in front of others."
		}
		return s
	case "body-full", "body-late":
		return fmt.Sprintf("Refused with %d %s: no room in time for its body on the ways to the hosts of %s.", end.Status, ms, end.Service)
	case "none":
		return fmt.Sprintf("Refused with %d %s: no further endpoint of %s was known.", end.Status, ms, end.Service)
	case "leaving", "misrouted", "absent", "suspect", "down", "moved", "shed":
		return fmt.Sprintf("Refused with %d %s: the last endpoint of %s was not to be used (%s).", end.Status, ms, end.Service, end.Reason)
	case "timeout":
		return fmt.Sprintf("No answer of %s (%s) by the deadline, %s; %d ms are usual there.%s", end.Instance, end.Tier, ms, end.Expected, t.ranAt(id, end))
	case "left":
		return fmt.Sprintf("Its caller hung up %s, while %s (%s) worked on it.", ms, end.Instance, end.Tier)
	case "lost", "garbled":
		return fmt.Sprintf("%s (%s) broke the answer off or sent no valid one (%s) %s, and it may have run.", end.Instance, end.Tier, end.Reason, ms)
	case "link":
		return fmt.Sprintf("The link with the node of %s (%s) failed %s.", end.Instance, end.Tier, ms)
	}
	return fmt.Sprintf("It ended with %d %s: %s.", end.Status, ms, end.Reason)
}

// ranAt tells where the time went, if the endpoint's node has a line on it.
func (t *Tracer) ranAt(id string, end *entry) string {
	for _, e := range t.entries {
		if e.ID == id && e.Message == "call failed at the upstream" && e.Instance == end.Instance {
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
