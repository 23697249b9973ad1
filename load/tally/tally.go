package tally

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms; longer times count as maxMicros.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Tally counts calls and their latencies; its methods may be called concurrently.
type Tally struct {
	Class string `help:"Label of the results." default:"default"`

	mu           sync.Mutex
	sent         int
	unsent       int
	statusCounts map[string]int
	ranCounts    map[string]int
	latency      *hdrhistogram.Histogram
	lag          *hdrhistogram.Histogram
}

// Report is the result of a run; times are in milliseconds.
type Report struct {
	Class  string         `json:"class"`
	Sent   int            `json:"sent"`
	Unsent int            `json:"unsent"` // calls not sent because too many were in progress when they were due
	Status map[string]int `json:"status"`
	Ran    map[string]int `json:"ran"` // responses by Wisteriaspoke-Ran; the empty key counts those without it
	P50    float64        `json:"p50"`
	P99    float64        `json:"p99"`
	P999   float64        `json:"p999"`
	Max    float64        `json:"max"`
	LagP99 float64        `json:"lag"` // 99th percentile of the generator's start delay, which the latencies include
}

// AddUnsent counts a call that was due and not sent.
func (t *Tally) AddUnsent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unsent++
}

// Add counts a call. Its latency is measured from the intended start; lag is the delay from there to the real start.
func (t *Tally) Add(status, ran string, latency, lag time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prepare()
	t.sent++
	t.statusCounts[status]++
	t.ranCounts[ran]++
	record(t.latency, latency)
	record(t.lag, lag)
}

// Report returns the results so far.
func (t *Tally) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prepare()
	return Report{
		Class: t.Class, Sent: t.sent, Unsent: t.unsent, Status: t.statusCounts, Ran: t.ranCounts,
		P50:    milliseconds(t.latency.ValueAtPercentile(50)),
		P99:    milliseconds(t.latency.ValueAtPercentile(99)),
		P999:   milliseconds(t.latency.ValueAtPercentile(99.9)),
		Max:    milliseconds(t.latency.Max()),
		LagP99: milliseconds(t.lag.ValueAtPercentile(99)),
	}
}

// prepare creates the maps and histograms at the first use; mu must be held.
func (t *Tally) prepare() {
	if t.statusCounts != nil {
		return
	}
	t.statusCounts = map[string]int{}
	t.ranCounts = map[string]int{}
	t.latency = hdrhistogram.New(minMicros, maxMicros, significantDigits)
	t.lag = hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Recording a value within the range cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), 0), maxMicros))
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }
