package scheduler

import (
	"math/rand/v2"
	"time"

	"wisteriaspoke.example/mesh/judge"
)

// randomInput returns an input drawn from a seed.
func randomInput(seed uint64) Input {
	r := rand.New(rand.NewPCG(seed, 3))
	shares := []int{0, 50, 250, 500, 1000}
	findings := []judge.Finding{judge.Undecided, judge.Good}
	in := Input{
		Version: "v2", Now: requestedAt.Add(time.Duration(r.IntN(300)) * time.Second),
		Deadline: requestedAt.Add(time.Duration(r.IntN(300)) * time.Second), Settle: time.Duration(r.IntN(60)) * time.Second,
		Share: shares[r.IntN(len(shares))], Finding: findings[r.IntN(2)], CallRate: float64(r.IntN(2000)),
		HasReadyEndpoint: r.IntN(4) > 0,
	}
	in.ShareSetAt = in.Now.Add(-time.Duration(r.IntN(100)) * time.Second)
	if in.Finding == judge.Undecided {
		in.CallsNeeded = r.Uint64N(5000)
	}
	return in
}
