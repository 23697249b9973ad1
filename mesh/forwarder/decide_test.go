package forwarder

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/exchanger"
)

// TestNext guards against a second run of a request that must not have one, against repeats that nobody has paid for,
// and against requests that circulate in a crowd.
func TestNext(t *testing.T) {
	shed := answer.Fields{Status: 503, Ran: answer.No, Reason: exchanger.ReasonShed}
	full := answer.Fields{Status: 503, Ran: answer.No, Reason: "full"}
	lost := answer.Fields{Status: 502, Ran: answer.Maybe, Reason: exchanger.ReasonConnectionLost}
	late := answer.Fields{Status: 504, Ran: answer.Maybe, Reason: exchanger.ReasonTimeout}
	down := answer.Fields{Status: 503, Ran: answer.No, Reason: exchanger.ReasonUnreachable}
	cases := []struct {
		name   string
		answer answer.Fields
		change func(*situation)
	}{
		{"answered", answer.Fields{Status: 200, Ran: answer.Yes}, nil},
		{"failed, idempotent", answer.Fields{Status: 500, Ran: answer.Yes}, nil},
		{"failed, once only", answer.Fields{Status: 500, Ran: answer.Yes}, func(s *situation) { s.idempotent = false }},
		{"failed, no budget", answer.Fields{Status: 500, Ran: answer.Yes}, func(s *situation) { s.allowed = false }},
		{"failed, last attempt", answer.Fields{Status: 500, Ran: answer.Yes}, func(s *situation) { s.arrivals = 2 }},
		{"refused by the node", full, nil},
		{"refused by the node, once only", full, func(s *situation) { s.idempotent = false }},
		{"refused by the node, no budget", full, func(s *situation) { s.allowed = false }},
		{"refused by the node, too often", full, func(s *situation) { s.sends = maxSends }},
		{"refused by the upstream", shed, nil},
		{"refused by the upstream, once only", shed, func(s *situation) { s.idempotent = false }},
		{"refused by the upstream, no budget", shed, func(s *situation) { s.allowed = false }},
		{"nothing listens, once only", down, func(s *situation) { s.idempotent = false }},
		{"connection lost, idempotent", lost, nil},
		{"connection lost, once only", lost, func(s *situation) { s.idempotent = false }},
		{"timed out", late, func(s *situation) { s.left = 0 }},
		{"no time left", shed, func(s *situation) { s.left = 10 * time.Millisecond }},
		{"no other endpoint", full, func(s *situation) { s.others = false }},
	}
	var out strings.Builder
	for _, c := range cases {
		s := situation{answer: answer.New(c.answer), idempotent: true, arrivals: 1, attempts: 2, sends: 1, left: time.Second, expected: 100 * time.Millisecond, allowed: true, others: true}
		if c.change != nil {
			c.change(&s)
		}
		a := next(s)
		fmt.Fprintf(&out, "%-36s %-8s", c.name, a)
		if a == giveUp {
			fmt.Fprintf(&out, " with %d", outcome(s.answer))
		}
		out.WriteString("\n")
	}
	goldie.New(t).Assert(t, "next", []byte(out.String()))
}
