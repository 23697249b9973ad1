package notice_test

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/encoder"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/group"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/notice"
)

func samples() []message.Message {
	e := endpoint.New(endpoint.Fields{
		Address: "10.0.0.1:7000", Service: "gallery", Version: "2", DataCentre: "wet-a", Region: "wet", Slots: 9,
		State: endpoint.Ready, Incarnation: 1767225600000, Joined: time.UnixMilli(1767225600123),
	})
	g := group.New("wet-a", "gallery", 7, 3, []endpoint.Endpoint{e})
	d := notice.NewDeparture("10.0.0.1:7000", "wet-a", "gallery", 1767225600000)
	return []message.Message{
		message.New(notice.KindAnnouncement, notice.NewAnnouncement(e, 2)),
		message.New(notice.KindReceipt, notice.NewReceipt(1767225600000, 2)),
		message.New(notice.KindHeartbeat, notice.NewHeartbeat(0x123456789abcdef0, 0xfedcba9876543210)),
		message.New(notice.KindQuery, notice.NewQuery(true, false)),
		message.New(notice.KindSubscription, notice.NewSubscription(1, false, true, []string{"booking", "gallery"})),
		message.New(notice.KindDigest, notice.NewDigest(map[string]uint64{"wet-a": 1, "wet-b": 0xfedcba9876543210})),
		message.New(notice.KindPull, notice.NewPull([]string{"wet-a"}, []notice.SetVersion{notice.NewSetVersion(g)})),
		message.New(notice.KindSets, notice.NewSets([]group.Group{g}, []notice.Departure{d}, true)),
		message.New(notice.KindProbe, notice.NewProbe("10.0.0.1:7000")),
		message.New(notice.KindProbeReply, notice.NewProbeReply("10.0.0.1:7000", 120)),
	}
}

// TestEncoding guards against a changed encoding, which nodes of the previous release could not decode.
func TestEncoding(t *testing.T) {
	var out strings.Builder
	for _, m := range samples() {
		data, err := encoder.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%s %d %s\n", m.Kind(), len(data), hex.EncodeToString(data))
	}
	goldie.New(t).Assert(t, "messages", []byte(out.String()))
}

// TestRoundTrip guards against a field that is only encoded or only decoded.
func TestRoundTrip(t *testing.T) {
	for _, m := range samples() {
		data, err := encoder.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		back, err := encoder.Decode(data)
		if err != nil {
			t.Fatalf("%s: %v", m.Kind(), err)
		}
		again, err := encoder.Encode(back)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(data, again); diff != "" {
			t.Errorf("%s differs after a round trip (-sent +received):\n%s", m.Kind(), diff)
		}
	}
}

// TestHeartbeatParts guards against a heartbeat whose identity and sum overlap.
func TestHeartbeatParts(t *testing.T) {
	b := notice.NewHeartbeat(0xabc, 0xfffff)
	cases := []struct {
		identity, sum         uint64
		wantIdentity, wantSum bool
	}{
		{0xabc, 0xfffff, true, true},
		{0xabd, 0xfffff, false, true},
		{0xabc, 0xffffe, true, false},
		{0xabc, 0x7ffff, true, false},
		{0x2bc, 0xfffff, false, true},
		{0x1abc, 0x1fffff, true, true},
	}
	for _, c := range cases {
		if got := b.SameIdentity(c.identity); got != c.wantIdentity {
			t.Errorf("identity %x: %v, want %v", c.identity, got, c.wantIdentity)
		}
		if got := b.SameSum(c.sum); got != c.wantSum {
			t.Errorf("sum %x: %v, want %v", c.sum, got, c.wantSum)
		}
	}
}
