package scheduler

import (
	"math/rand/v2"
	"time"

	"wisteriaspoke.example/mesh/judge"
)

// drawFields returns fields drawn from a seed.
func drawFields(seed uint64) Fields {
	r := rand.New(rand.NewPCG(seed, 3))
	shares := []int{0, 50, 250, 500, 1000}
	findings := []judge.Finding{judge.Undecided, judge.Good}
	f := Fields{
		Version: "v2", Now: asked.Add(time.Duration(r.IntN(300)) * time.Second),
		Deadline: asked.Add(time.Duration(r.IntN(300)) * time.Second), Settle: time.Duration(r.IntN(60)) * time.Second,
		Share: shares[r.IntN(len(shares))], Finding: findings[r.IntN(2)], Rate: float64(r.IntN(2000)), Ready: r.IntN(4) > 0,
	}
	f.Changed = f.Now.Add(-time.Duration(r.IntN(100)) * time.Second)
	if f.Finding == judge.Undecided {
		f.Needed = r.Uint64N(5000)
	}
	return f
}
