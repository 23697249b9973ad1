package relayer

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/differ"
	"wisteriaspoke.example/mesh/encoder"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/report"
)

// TestMessages guards against a changed encoding that nodes of another release cannot read.
func TestMessages(t *testing.T) {
	leases := []leaseInfo{{DataCentre: "obb-a", Region: "obb", Index: 1, Holder: "10.0.0.1:7000", Epoch: 3,
		Renewed: 1_000_000, Age: 40}}
	whole, err := differ.New(7, "ordinary", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	bodies := []struct {
		kind string
		body any
	}{
		{relayQueryKind, &relayQuery{}},
		{relayAnswerKind, &relayAnswer{Leases: leases, DataCentre: "obb-a", Version: 7}},
		{subscribeKind, &subscribe{
			DataCentre: "obb-a", Service: "meldung", Demanded: []string{"ergebnis"}, Version: 6, Digest: 0xfeed,
			RefusedVersion: 7, Reason: "missing", Push: true, Pull: true, Relay: true, UptimeMillis: 12,
		}},
		{subscribeKind, &subscribe{DataCentre: "obb-a", Version: 6, Digest: 0xfeed, Push: true}},
		{heartbeatKind, &heartbeat{Version: 7, Leases: leases, NodeCount: 3, UptimeMillis: 12, MinVersion: 7,
			StoreUnreachable: true}},
		{subscribeKind, &subscribe{Version: 6, Digest: 0xfeed, Push: true, Unchanged: true}},
		{heartbeatKind, &heartbeat{Version: 7, NodeCount: 860, Renewed: 1_000_000}},
		{heartbeatKind, &heartbeat{ResendSubscription: true}},
		{retryLaterKind, &retryLater{RetryAfterMillis: 450}},
		{relayStatusKind, &relayStatus{LatestVersion: 8, ConfirmedVersion: 7, Digest: 0xfeed, Leases: leases,
			RefusedVersion: 9, Reason: "missing"}},
		{relayStatusKind, &relayStatus{LatestVersion: 8, ConfirmedVersion: 7, Digest: 0xfeed, PublishedVersion: 7}},
		{subscribeKind, &subscribe{DataCentre: "obb-a", Version: 7, Digest: 0xfeed, Push: true, SubRelay: true,
			ClientSummary: &clientSummary{
				NodesByVersion: map[uint64]int{6: 1, 7: 28}, Laggards: []report.Laggard{{Node: "10.0.0.2:7000", Version: 6,
					Reason: "missing"}},
			}}},
		{heartbeatKind, &heartbeat{Version: 7, NodeCount: 860, RelayLiveness: []relayLiveness{
			{Epoch: 3, Age: 400, Renewed: 1_000_000}, {Index: 1, Epoch: 5, Age: 900, Renewed: 1_000_000},
		}}},
		{redirectKind, &redirect{SubRelays: []string{"10.0.0.3:7000", "10.0.0.4:7000"}}},
		{redirectKind, &redirect{BecomeSubRelay: true}},
		{redirectKind, &redirect{}},
		{unfilteredDeltaKind, &unfilteredDelta{Delta: differ.Diff(differ.State{}, whole)}},
	}
	var out strings.Builder
	for i, b := range bodies {
		data, err := encoder.Encode(message.New(b.kind, b.body))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%02d %-9s %3d bytes %s\n", i+1, b.kind, len(data), hex.EncodeToString(data))
		m, err := encoder.Decode(data)
		if err != nil || m.Kind() != b.kind || !reflect.DeepEqual(m.Body(), b.body) {
			t.Errorf("case %d decodes to %v with error %v", i+1, m, err)
		}
	}
	goldie.New(t).Assert(t, "messages", []byte(out.String()))
}
