package gossiper

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/record"
)

// fakeProver lists the proofs that it gets.
type fakeProver struct{ proofs []string }

func (f *fakeProver) Prove(began time.Duration, version uint64) {
	f.proofs = append(f.proofs, fmt.Sprintf("%d:%d", began, version))
}
func (f *fakeProver) Proves() bool { return true }

// TestReadsProve guards against a read that proves a configuration to be the newest although its records have not been
// applied, were lost or could not be read, and against proofs that end because of another writer's object.
func TestReadsProve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		x := n.start("a1")
		f := &fakeProver{}
		x.prover = f
		odd := func(name string, revision uint64) []record.Record {
			return []record.Record{{Kind: record.Configuration, Name: name, Revision: revision, Spec: []byte("odd")}}
		}
		for i, rs := range [][]record.Record{
			nil,                     // no configuration is known
			configuration(1, 5),     // in force
			nil,                     // nothing newer
			configuration(1, 5),     // a list of the same
			configuration(3, 8),     // a newer one
			odd("other", 9),         // of another writer
			odd("main", 10),         // not a configuration: it may be one without some key
			nil,                     // nothing newer than that
			odd("main", 10),         // a list of the same
			configuration(4, 11),    // readable again
			odd("main", 12),         // once more
			configuration(4, 13),    // the one before is restored
			configuration(9, 7)[:0], // an empty list
		} {
			if !x.AddRead(rs, time.Duration(i)) {
				t.Errorf("read %d is lost", i)
			}
			synctest.Wait()
		}
		if got, want := strings.Join(f.proofs, " "), "1:1 2:1 3:1 4:3 5:3 9:4 11:4 12:4"; got != want {
			t.Errorf("proofs %s, want %s", got, want)
		}
		n.kill("a1")
		for range inputQueueSize {
			x.AddRead(nil, 0)
		}
		if x.AddRead(configuration(5, 14), 0) {
			t.Error("a read that does not fit the queue is not said to be lost")
		}
	})
}

// TestLostVersionProvesNothing guards against a node that restarts after a restore of the store and takes the older
// configuration in it for the newest, although a linked node has told that there is a newer one, which may lack some key.
func TestLostVersionProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		x := n.start("a1")
		f := &fakeProver{}
		x.prover = f
		restored := configuration(4, record.Position(1, 10))
		x.AddRead(restored, 1)
		// The messages to this node are lost, so its newer configuration is not pulled.
		x.Inject(event.NewLinked("a2"))
		x.Inject(event.NewReceived("a2", message.New(kindStatus, &status{
			Incarnation: 1, Sequence: 1, DataCentre: "a", Region: "a", ConfigurationRevision: 7, StoreFailureAge: -1,
		})))
		x.AddRead(restored, 2)
		x.AddRead(nil, 3)
		x.AddRead(configuration(7, record.Position(1, 12)), 4)
		synctest.Wait()
		if got := strings.Join(f.proofs, " "); got != "1:4 4:7" {
			t.Errorf("proofs %q, want 1:4 4:7", got)
		}
		n.kill("a1")
	})
}
