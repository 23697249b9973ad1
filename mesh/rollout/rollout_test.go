package rollout

import (
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/object"
)

// Guards against a change of the stored format, since operators' tools and nodes write the same object, and against a
// field that is lost when one of them decodes the object and writes it back.
func TestFormat(t *testing.T) {
	at := time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)
	r := New(Fields{
		ID: "m1", Service: "meldung", From: "1", To: "2", Deadline: at.Add(time.Hour), RequestedAt: at,
		Settle: time.Minute, Token: "t1", Writer: "anna",
	})
	first, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	r = r.WithState(Widening, 250, at.Add(time.Minute), "the canary is good", "50% next").WithEpoch(3).WithCancel()
	r = r.WithEvidence([]Evidence{
		{Route: "entries", NewCalls: 4, NewFailures: 3, OldCalls: 2, OldFailures: 1, Verdict: "open"},
	})
	r = r.WithNextStep("100% next").WithWrite("t2", "10.0.0.1:7400")
	second, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(object.New(Plural, "meldung", "1", second))
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := decoded.Encode()
	if err != nil || string(encoded) != string(second) {
		t.Errorf("read %s and wrote %s, %v", second, encoded, err)
	}
	goldie.New(t).Assert(t, "format", []byte(string(first)+"\n"+string(second)+"\n"))
}

// Guards against a second rollout of a service while one is under way, which Finished prevents.
func TestFinished(t *testing.T) {
	for s, want := range map[State]bool{
		"": true, Requested: false, Canary: false, Widening: false, Settling: false, Done: true, TakenBack: true,
	} {
		if got := (Rollout{}).WithState(s, 0, time.Time{}, "", "").Finished(); got != want {
			t.Errorf("%q: finished is %t", s, got)
		}
	}
	if _, err := Decode(object.New(Plural, "a", "1", []byte("{"))); err == nil {
		t.Error("a malformed object was decoded")
	}
}
