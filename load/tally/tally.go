package tally

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and precision of the histograms, in microseconds; longer times count as the longest.
const (
	shortest = 1
	longest  = int64(10 * time.Minute / time.Microsecond)
	digits   = 3
)

// Tally counts calls and their latencies; its methods may be called concurrently.
type Tally struct {
	Class string `help:"Label of the results." default:"default"`

	mu       sync.Mutex
	sent     int
	unsent   int
	statuses map[string]int
	rans     map[string]int
	latency  *hdrhistogram.Histogram
	lag      *hdrhistogram.Histogram
}

// Report is the result of a run; times are in milliseconds.
type Report struct {
	Class  string         `json:"class"`
	Sent   int            `json:"sent"`
	Unsent int            `json:"unsent"` // calls that were due while too many were in progress
	Status map[string]int `json:"status"`
	Ran    map[string]int `json:"ran"` // answers by Wisteriaspoke-Ran; the empty name is for those without it
	P50    float64        `json:"p50"`
	P99    float64        `json:"p99"`
	P999   float64        `json:"p999"`
	Max    float64        `json:"max"`
	Lag    float64        `json:"lag"` // 99th percentile of the generator's own delay, which the latencies include
}

// Skip counts a call that was due and not sent.
func (t *Tally) Skip() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unsent++
}

// Add counts a call with its latency from the intended start, and lag as the delay of its real start.
func (t *Tally) Add(status, ran string, latency, lag time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prepare()
	t.sent++
	t.statuses[status]++
	t.rans[ran]++
	record(t.latency, latency)
	record(t.lag, lag)
}

// Report returns the results so far.
func (t *Tally) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prepare()
	return Report{
		Class: t.Class, Sent: t.sent, Unsent: t.unsent, Status: t.statuses, Ran: t.rans,
		P50:  milliseconds(t.latency.ValueAtPercentile(50)),
		P99:  milliseconds(t.latency.ValueAtPercentile(99)),
		P999: milliseconds(t.latency.ValueAtPercentile(99.9)),
		Max:  milliseconds(t.latency.Max()),
		Lag:  milliseconds(t.lag.ValueAtPercentile(99)),
	}
}

// prepare is called with the lock held.
func (t *Tally) prepare() {
	if t.statuses != nil {
		return
	}
	t.statuses = map[string]int{}
	t.rans = map[string]int{}
	t.latency = hdrhistogram.New(shortest, longest, digits)
	t.lag = hdrhistogram.New(shortest, longest, digits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// A value within the range cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), 0), longest))
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }
