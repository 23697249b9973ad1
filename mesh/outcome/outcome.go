package outcome

import "github.com/fxamacker/cbor/v2"

// Buckets is the number of latency buckets. Bucket i counts the calls that took less than 1 ms << i and are in no lower
// bucket; the last one has no upper limit.
const Buckets = 16

// Key identifies the calls that are counted together.
type Key struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
	Route   string `cbor:"3,keyasint"`
	Region  string `cbor:"4,keyasint,omitempty"` // of the endpoint
}

// Outcome holds the immutable counts of finished calls over a period.
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

// New returns counts. Failures and crashes are included in calls; shed calls are not.
func New(k Key, calls, failures, crashes, shed uint64, latency [Buckets]uint64) Outcome {
	return Outcome{w: wire{Key: k, Calls: calls, Failures: failures, Crashes: crashes, Shed: shed, Latency: latency}}
}

// MarshalCBOR encodes the counts for messages between nodes.
func (o Outcome) MarshalCBOR() ([]byte, error) { return cbor.Marshal(o.w) }

// UnmarshalCBOR decodes the counts from a message between nodes.
func (o *Outcome) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &o.w) }

// Key returns the key of the counted calls.
func (o Outcome) Key() Key { return o.w.Key }

// Calls returns the number of calls that an upstream answered or aborted.
func (o Outcome) Calls() uint64 { return o.w.Calls }

// Failures returns the number of calls with a status of 500 or above, or without a complete response.
func (o Outcome) Failures() uint64 { return o.w.Failures }

// Crashes returns the number of calls that were in flight when their upstream died.
func (o Outcome) Crashes() uint64 { return o.w.Crashes }

// Shed returns the number of calls that the endpoint refused because it lacked capacity.
func (o Outcome) Shed() uint64 { return o.w.Shed }

// LatencyHistogram returns the number of calls in each latency bucket.
func (o Outcome) LatencyHistogram() [Buckets]uint64 { return o.w.Latency }

// Add returns the sum of both counts under o's key.
func (o Outcome) Add(other Outcome) Outcome {
	o.w.Calls += other.w.Calls
	o.w.Failures += other.w.Failures
	o.w.Crashes += other.w.Crashes
	o.w.Shed += other.w.Shed
	for i := range o.w.Latency {
		o.w.Latency[i] += other.w.Latency[i]
	}
	return o
}
