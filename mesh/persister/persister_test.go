package persister

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/enroller"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/withdrawal"
)

// fakeStore holds the object of one node and fails as its mode says.
type fakeStore struct {
	mutex    sync.Mutex
	mode     string // out: refuses; silent: does not answer; lost: writes and does not answer; empty: answers after 4 ms
	position uint64
	ws       []withdrawal.Withdrawal
	era      uint64
	calls    int
}

func (f *fakeStore) Era() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.era
}

// answer waits for the answer to a call and returns its error.
func (f *fakeStore) answer(ctx context.Context) error {
	f.mutex.Lock()
	f.calls++
	mode := f.mode
	f.mutex.Unlock()
	unavailable := fault.New(fault.Unavailable, "the store does not answer", "")
	switch mode {
	case "out":
		return unavailable
	case "silent", "lost":
		<-ctx.Done()
		return unavailable
	}
	time.Sleep(4 * time.Millisecond)
	return nil
}

func (f *fakeStore) Withdrawals(ctx context.Context, _ string) ([]withdrawal.Withdrawal, uint64, error) {
	if err := f.answer(ctx); err != nil {
		return nil, 0, err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.ws), f.position, nil
}

func (f *fakeStore) StoreWithdrawals(ctx context.Context, _ string, ws []withdrawal.Withdrawal, position uint64) (uint64, error) {
	f.mutex.Lock()
	if f.mode == "lost" && position == f.position {
		f.ws, f.position = ws, f.position+1
	}
	f.mutex.Unlock()
	if err := f.answer(ctx); err != nil {
		return 0, err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if position != f.position {
		return 0, fault.New(fault.Conflict, "the object has changed", "")
	}
	f.ws, f.position = ws, f.position+1
	return f.position, nil
}

// process is one run of a node beside an upstream.
type process struct {
	enroller  *enroller.Enroller
	persister *Persister
	cancel    context.CancelFunc
	end       chan error
}

// UpstreamChanged passes a change on to the persister.
func (p *process) UpstreamChanged(u *enroller.Upstream) { p.persister.UpstreamChanged(u) }

func startProcess(s *fakeStore) *process {
	p := &process{persister: New(), end: make(chan error, 1)}
	log := slog.New(slog.DiscardHandler)
	p.enroller = enroller.New(log, p)
	p.persister.jitter = func(d time.Duration) time.Duration { return d / 2 }
	p.persister.log, p.persister.store, p.persister.registry, p.persister.node = log, s, p.enroller, "10.0.0.1:7600"
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(context.Background())
	go func() { p.end <- p.persister.run(ctx) }()
	return p
}

func (p *process) kill() {
	p.cancel()
	<-p.end
}

// step is an event at a node or its store.
type step struct {
	Do       string // start, kill, announce, drain, withdraw, told (by another node), store or wait
	Start    int64  // of the upstream; 1000 for announcements without it, unknown for withdrawals
	Sequence int64
	Mode     string // of the store
	Millis   int64  // to wait
}

// play makes the step and returns the process that runs after it.
func (s step) play(p *process, store *fakeStore) *process {
	a := enroller.Announcement{Instance: "a", Address: "10.0.0.1:80", Service: "s", Slots: 1, StartMillis: max(1000, s.Start), Sequence: s.Sequence}
	switch s.Do {
	case "start":
		return startProcess(store)
	case "kill":
		p.kill()
		return nil
	case "announce":
		// The platform's adapter does the same.
		if p.enroller.PredatesNode(a) {
			p.persister.Persist(context.Background())
		}
		if p.enroller.Confirm(a) {
			p.enroller.Announce(a)
		}
	case "drain":
		a.Leaving = true
		p.enroller.Announce(a)
		p.persister.Persist(context.Background())
	case "withdraw":
		p.enroller.Withdraw("a", s.Start)
		p.persister.Persist(context.Background())
	case "told":
		p.enroller.Withdraw("a", s.Start)
	case "store":
		store.mutex.Lock()
		defer store.mutex.Unlock()
		if store.mode = s.Mode; s.Mode == "restored" {
			store.mode, store.ws, store.position, store.era = "", nil, 0, store.era+1
		}
	case "wait":
		time.Sleep(time.Duration(s.Millis) * time.Millisecond)
	}
	return p
}

// TestWithdrawalOutlivesAllNodes guards against DRAIN: an upstream whose leaving was acknowledged is in use again after all nodes were
// killed, by an announcement that it had sent before; and against upstreams that are held back without need. Each case of
// testdata/restarts.json is a sequence of events; a withdrawal must be acknowledged within a second.
func TestWithdrawalOutlivesAllNodes(t *testing.T) {
	data, err := os.ReadFile("testdata/restarts.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name  string
		Steps []step
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, c := range cases {
		fmt.Fprintf(&out, "%s\n", c.Name)
		synctest.Test(t, func(t *testing.T) {
			store := &fakeStore{}
			var p *process
			for _, s := range c.Steps {
				begun := time.Now()
				p = s.play(p, store)
				took := time.Since(begun)
				if took > time.Second && s.Do != "wait" {
					t.Errorf("%s: %s took %v", c.Name, s.Do, took)
				}
				state := "no node"
				if p != nil {
					state = "no upstream"
					if u := p.enroller.Current(); u != nil {
						state = fmt.Sprintf("%s since %d", u.State(), u.Announcement().StartMillis)
					}
				}
				store.mutex.Lock()
				fmt.Fprintf(&out, "  %-8s %5d %d %-8s -> %-20s after %v, calls %d, stored %d\n", s.Do, s.Start, s.Sequence, s.Mode, state, took, store.calls, len(store.ws))
				store.mutex.Unlock()
			}
			if p != nil {
				p.kill()
			}
		})
	}
	goldie.New(t).Assert(t, "restarts", []byte(out.String()))
}
