package roller

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"wisteriaspoke.example/mesh/encoder"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/outcome"
	"wisteriaspoke.example/mesh/verdict"
)

func newOutcome(version string, calls, failures uint64) outcome.Outcome {
	var latency [outcome.Buckets]uint64
	latency[3] = calls
	k := outcome.Key{Service: "ergebnis", Version: version, Route: "read", Region: "obb"}
	return outcome.New(k, calls, failures, 0, 0, latency)
}

// Guards against a change of the encoding that nodes of another release cannot decode.
func TestEncodedMessages(t *testing.T) {
	v := verdict.New("ergebnis", "v2", "move-1", "version v2 fails 25.0% of 64 calls on all routes")
	messages := []message.Message{
		message.New(countsKind, &counts{
			Service: "ergebnis", Rollout: "move-1", Incarnation: 7, Stream: 2, Sequence: 3, Region: "obb",
			Outcomes: []outcome.Outcome{newOutcome("v1", 19, 0), newOutcome("v2", 1, 1)},
		}),
		message.New(countsKind, &counts{
			Service: "ergebnis", Rollout: "move-1", Incarnation: 7, Sequence: 9, Region: "obb", Relayed: true,
			Outcomes: []outcome.Outcome{newOutcome("v1", 190, 0), newOutcome("v2", 10, 1)},
		}),
		message.New(holderKind, &holder{Service: "ergebnis", Address: "127.0.1.1:7000", Epoch: 4, Gateway: true}),
		message.New(verdictKind, &v),
	}
	var out bytes.Buffer
	for _, m := range messages {
		data, err := encoder.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%s %d bytes\n%x\n", m.Kind(), len(data), data)
		decoded, err := encoder.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		again, err := encoder.Encode(decoded)
		if err != nil || !bytes.Equal(again, data) {
			t.Errorf("%s changes when it is decoded and encoded again: %v", m.Kind(), err)
		}
	}
	assertGolden(t, "messages", out.Bytes())
}

// Guards against calls that are counted twice, or counted but never made, when messages are lost, duplicated, reordered
// or arrive after a restart of their sender.
func TestStreamCountsOnce(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 5))
		sent, made := randomMessages(r)
		var state senderState
		got := uint64(0)
		for _, m := range sent {
			for _, o := range state.update(m) {
				got += o.Calls()
			}
		}
		if got > made {
			t.Fatalf("seed %d: took %d calls of %d", seed, got, made)
		}
		if before := got; len(sent) > 0 {
			for _, m := range sent {
				for _, o := range state.update(m) {
					got += o.Calls()
				}
			}
			if got != before {
				t.Fatalf("seed %d: repeating all messages added %d calls", seed, got-before)
			}
		}
	}
}

// randomMessages returns totals of two incarnations of a sender, some lost, duplicated and reordered, and the number of
// calls that were made.
func randomMessages(r *rand.Rand) ([]*counts, uint64) {
	var sent []*counts
	made := uint64(0)
	for incarnation := uint64(1); incarnation <= 2; incarnation++ {
		total := uint64(0)
		for sequence := uint64(1); sequence <= 20; sequence++ {
			n := r.Uint64N(10)
			total += n
			made += n
			m := &counts{Incarnation: incarnation, Sequence: sequence, Outcomes: []outcome.Outcome{newOutcome("v2", total, 0)}}
			for range r.IntN(3) {
				sent = append(sent, m)
			}
		}
	}
	for range 20 {
		i := r.IntN(len(sent) - 1)
		sent[i], sent[i+1] = sent[i+1], sent[i]
	}
	return sent, made
}

// Guards against calls that are not counted although no message is lost.
func TestStreamCountsAll(t *testing.T) {
	var state senderState
	got := uint64(0)
	for sequence := uint64(1); sequence <= 5; sequence++ {
		m := &counts{Incarnation: 1, Sequence: sequence, Outcomes: []outcome.Outcome{newOutcome("v2", 10*sequence, 0)}}
		for _, o := range state.update(m) {
			got += o.Calls()
		}
	}
	if got != 50 {
		t.Errorf("took %d calls of 50", got)
	}
}
