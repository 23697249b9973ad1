package ledger_test

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/ledger"
)

// TestLedger guards against a key that is removed during its retention, or kept beyond the limits. Each line of
// testdata/steps.txt is one step: time in seconds, then reserve KEY PRINT ATTEMPT DEADLINE | release KEY ATTEMPT |
// finish KEY ATTEMPT RAN BYTES.
func TestLedger(t *testing.T) {
	data, err := os.ReadFile("testdata/steps.txt")
	if err != nil {
		t.Fatal(err)
	}
	l := &ledger.Ledger{Retention: 600 * time.Second, MaxBytes: 1500, MaxRecords: 4}
	start := time.Unix(0, 0)
	var out strings.Builder
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		w := strings.Fields(lines.Text())
		num := func(i int) uint64 {
			n, err := strconv.ParseUint(w[i], 10, 32)
			if err != nil {
				t.Fatalf("%q: %v", lines.Text(), err)
			}
			return n
		}
		at := func(i int) time.Time { return start.Add(time.Duration(num(i)) * time.Second) }
		result := ""
		switch w[1] {
		case "reserve":
			h := l.Reserve(at(0), w[2], num(3), num(4), at(5))
			result = string(h.State())
			if a, held := h.Answer(); held {
				result += fmt.Sprintf(" %d bytes", len(a.Body()))
			}
		case "release":
			l.Release(w[2], num(3))
		case "finish":
			l.Finish(at(0), w[2], num(3), answer.New(answer.Fields{Ran: answer.Ran(w[4]), Body: make([]byte, num(5))}))
		}
		fmt.Fprintf(&out, "%-40s -> %-14s records %d, bytes %d\n", lines.Text(), result, l.Len(), l.Size())
	}
	goldie.New(t).Assert(t, "steps", []byte(out.String()))
}
