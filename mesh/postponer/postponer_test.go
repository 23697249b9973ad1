package postponer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// TestRetryAfter guards against callers that return too late to be answered within their objective although there is time,
// before there can be capacity for them, or all at once.
func TestRetryAfter(t *testing.T) {
	ms := time.Millisecond
	var out strings.Builder
	for _, c := range []struct {
		name string
		Refusal
	}{
		{"upstream refuses though it has slots, long objective", Refusal{0, 700 * ms}},
		{"upstream refuses though it has slots, short objective", Refusal{0, 140 * ms}},
		{"nearly no time left", Refusal{0, 25 * ms}},
		{"objective missed", Refusal{0, -300 * ms}},
		{"slots are taken for a while, there is time", Refusal{80 * ms, 700 * ms}},
		{"slots are taken until shortly before the latest start", Refusal{120 * ms, 140 * ms}},
		{"slots are taken for longer than there is time", Refusal{400 * ms, 140 * ms}},
		{"long backlog, long objective", Refusal{900 * ms, 4000 * ms}},
	} {
		fmt.Fprintf(&out, "%-56s returns after %4d to %4d ms\n", c.name, c.RetryAfter(0).Milliseconds(), c.RetryAfter(0.999999).Milliseconds())
	}
	goldie.New(t).Assert(t, "retry-after", []byte(out.String()))
}
