package membercounter

import (
	"fmt"
	"testing"
	"time"
)

// step is one event of a case at a time since the start of the process.
type step struct {
	at        time.Duration
	seen      int // so many other nodes are known to run
	leaving   int // so many of them have said that they stop
	addresses int
	heard     int
	want      int
}

// TestCount guards against nodes that take larger shares of a limit than theirs, after a start, in a partition or both, and
// against shares that stay too small since hosts were replaced.
func TestCount(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"the first start", []step{{0, 0, 0, 1, 0, 0}, {second / 2, 9, 0, 10, 0, 10}, {3 * second, 9, 0, 10, 0, 10}}},
		{"a start among others", []step{{0, 0, 0, 83, 0, 83}, {second, 3, 0, 83, 83, 83}, {3 * second, 82, 0, 83, 83, 83}}},
		{"all start, of 28 known addresses 24 exist", []step{{0, 0, 0, 28, 0, 28}, {second, 23, 0, 28, 0, 28}, {50 * second, 23, 0, 24, 0, 24}}},
		{"a start in one half of a partition", []step{{0, 0, 0, 82, 0, 82}, {2 * second, 40, 0, 82, 0, 82}}},
		{"a start alone behind a cut", []step{{0, 0, 0, 83, 0, 83}, {50 * second, 0, 0, 1, 0, 83}}},
		{"a start of a few behind a cut", []step{{0, 0, 0, 83, 0, 83}, {50 * second, 28, 0, 29, 0, 83}}},
		{"a start alone behind a cut from the store, too", []step{{0, 0, 0, 1, 0, 0}, {2 * second, 0, 0, 1, 0, 0}, {3 * second, 0, 0, 1, 0, 1}}},
		{"a start whose first call for the addresses got no answer", []step{
			{0, 0, 0, 1, 0, 0}, {22 * second / 10, 0, 0, 1, 0, 0}, {23 * second / 10, 0, 0, 83, 0, 83}}},
		{"others vanish", []step{{0, 82, 0, 83, 0, 83}, {60 * second, 0, 0, 30, 0, 83}, {11 * time.Minute, 29, 0, 30, 0, 30}}},
		{"others stop in order and others come", []step{{0, 82, 0, 83, 0, 83}, {2 * second, 82, 20, 63, 0, 63}, {20 * second, 82, 0, 83, 0, 83}}},
		{"others know more", []step{{0, 4, 0, 5, 83, 83}, {2 * second, 4, 0, 5, 0, 83}, {9 * second, 4, 0, 5, 0, 5}}},
	} {
		n := New(0)
		for i, s := range c.steps {
			for j := range s.seen {
				n.See(fmt.Sprint(j), j < s.leaving, s.at, s.at)
			}
			n.SetAddresses(s.addresses, s.at)
			n.Hear(s.heard, s.at)
			if got := n.Count(s.at); got != s.want {
				t.Errorf("%s, step %d: %d nodes, want %d", c.name, i, got, s.want)
			}
		}
	}
}

// TestStartedTogether guards against a share that is lent while an earlier process's loan of it is in use, and against requests
// that are refused for seconds after a loss of power of the whole mesh.
func TestStartedTogether(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name      string
		ages      []time.Duration // of the processes of the other nodes that are reached
		addresses int
		want      bool
	}{
		{"no others known yet", nil, 1, false},
		{"all started", []time.Duration{second, second + 400*time.Millisecond, 900 * time.Millisecond}, 4, true},
		{"one older", []time.Duration{second, 3 * second, second}, 4, false},
		{"a fifth is gone", []time.Duration{second, second, second}, 5, true},
		{"too few reached", []time.Duration{second, second, second}, 6, false},
		{"none reached", nil, 5, false},
	} {
		n := New(10 * second)
		for i, age := range c.ages {
			n.See(fmt.Sprint(i), false, age, 11*second)
		}
		n.SetAddresses(c.addresses, 11*second)
		if got := n.StartedTogether(); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
