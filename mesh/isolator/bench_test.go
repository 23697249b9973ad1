package isolator

import (
	"fmt"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/guard"
)

// BenchmarkCall measures the time that the crash guard adds to a call without marks, while no other calls have marks
// and while some have.
func BenchmarkCall(b *testing.B) {
	for _, marks := range []int{0, 100} {
		for _, body := range []int{100, 64 << 10} {
			b.Run(fmt.Sprintf("marks=%d/body=%d", marks, body), func(b *testing.B) {
				i := fakeNetwork{}.add("n0", time.Now)
				for m := range marks {
					i.addMark("n1", uint64(m), call.New(call.Fields{Path: fmt.Sprint(m)}))
				}
				c := call.New(call.Fields{Method: "POST", Host: "swim.example", Path: "/entries", Body: make([]byte, body)})
				b.ReportAllocs()
				for b.Loop() {
					p, _ := i.Admit(b.Context(), c)
					p, _ = i.BeforeSend(p, c)
					i.AfterCall(b.Context(), p, c, guard.Complete)
				}
			})
		}
	}
}
