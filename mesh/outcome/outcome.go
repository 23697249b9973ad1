package outcome

import "github.com/fxamacker/cbor/v2"

// Buckets is the number of latency buckets; bucket i counts calls of less than 1 ms << i, the last one all others.
const Buckets = 16

// Key says what the counts are of.
type Key struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
	Route   string `cbor:"3,keyasint"`
	Region  string `cbor:"4,keyasint,omitempty"` // of the endpoint
}

// Outcome is an immutable count over a stretch of time.
type Outcome struct {
	w wire
}

type wire struct {
	Key      Key             `cbor:"1,keyasint"`
	Calls    uint64          `cbor:"2,keyasint"`
	Failures uint64          `cbor:"3,keyasint,omitempty"`
	Crashes  uint64          `cbor:"4,keyasint,omitempty"`
	Shed     uint64          `cbor:"5,keyasint,omitempty"`
	Latency  [Buckets]uint64 `cbor:"6,keyasint"`
}

// New returns counts: failures and crashes are among calls, shed calls are not.
func New(k Key, calls, failures, crashes, shed uint64, latency [Buckets]uint64) Outcome {
	return Outcome{w: wire{Key: k, Calls: calls, Failures: failures, Crashes: crashes, Shed: shed, Latency: latency}}
}

// MarshalCBOR writes the counts for messages between nodes.
func (o Outcome) MarshalCBOR() ([]byte, error) { return cbor.Marshal(o.w) }

// UnmarshalCBOR reads the counts from a message between nodes.
func (o *Outcome) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &o.w) }

// Key returns what the counts are of.
func (o Outcome) Key() Key { return o.w.Key }

// Calls returns the number of calls that an upstream answered or broke off.
func (o Outcome) Calls() uint64 { return o.w.Calls }

// Failures returns the calls with a status of 500 or above, or no whole response.
func (o Outcome) Failures() uint64 { return o.w.Failures }

// Crashes returns the calls that were in flight when their upstream died.
func (o Outcome) Crashes() uint64 { return o.w.Crashes }

// Shed returns the calls that the endpoint refused for want of capacity.
func (o Outcome) Shed() uint64 { return o.w.Shed }

// LatencyHistogram returns the count of each latency bucket.
func (o Outcome) LatencyHistogram() [Buckets]uint64 { return o.w.Latency }

// Add returns the sum of both counts under o's key.
func (o Outcome) Add(p Outcome) Outcome {
	o.w.Calls += p.w.Calls
	o.w.Failures += p.w.Failures
	o.w.Crashes += p.w.Crashes
	o.w.Shed += p.w.Shed
	for i := range o.w.Latency {
		o.w.Latency[i] += p.w.Latency[i]
	}
	return o
}
