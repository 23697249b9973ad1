package forwarder

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/crashcount"
	"wisteriaspoke.example/mesh/exchanger"
	"wisteriaspoke.example/mesh/holder"
	"wisteriaspoke.example/mesh/tenant"
)

// TestNextAction guards against a second run of a request that is not idempotent, against retries beyond the budget,
// against requests that circulate when all endpoints are
// overloaded, and against answers without memory that are asked for again.
func TestNextAction(t *testing.T) {
	shed := answer.Fields{Status: 503, Ran: answer.No, Reason: exchanger.ReasonShed}
	full := answer.Fields{Status: 503, Ran: answer.No, Reason: "full"}
	lost := answer.Fields{Status: 502, Ran: answer.Maybe, Reason: exchanger.ReasonConnectionLost}
	late := answer.Fields{Status: 504, Ran: answer.Maybe, Reason: exchanger.ReasonTimeout}
	down := answer.Fields{Status: 503, Ran: answer.No, Reason: exchanger.ReasonUnreachable}
	cases := []struct {
		name   string
		answer answer.Fields
		change func(*decisionInput)
	}{
		{"answered", answer.Fields{Status: 200, Ran: answer.Yes}, nil},
		{"failed, idempotent", answer.Fields{Status: 500, Ran: answer.Yes}, nil},
		{"failed, once only", answer.Fields{Status: 500, Ran: answer.Yes}, func(s *decisionInput) { s.idempotent = false }},
		{"failed, no budget", answer.Fields{Status: 500, Ran: answer.Yes}, func(s *decisionInput) { s.budgetAvailable = false }},
		{"failed, last attempt", answer.Fields{Status: 500, Ran: answer.Yes}, func(s *decisionInput) { s.upstreamSends = 2 }},
		{"refused by the node", full, nil},
		{"refused by the node, once only", full, func(s *decisionInput) { s.idempotent = false }},
		{"refused by the node, no budget", full, func(s *decisionInput) { s.budgetAvailable = false }},
		{"refused by the node, too often", full, func(s *decisionInput) { s.sends = maxSends }},
		{"refused by the upstream", shed, nil},
		{"refused by the upstream, once only", shed, func(s *decisionInput) { s.idempotent = false }},
		{"refused by the upstream, no budget", shed, func(s *decisionInput) { s.budgetAvailable = false }},
		{"nothing listens, once only", down, func(s *decisionInput) { s.idempotent = false }},
		{"connection lost, idempotent", lost, nil},
		{"connection lost, once only", lost, func(s *decisionInput) { s.idempotent = false }},
		{"timed out", late, func(s *decisionInput) { s.timeLeft = 0 }},
		{"no time left", shed, func(s *decisionInput) { s.timeLeft = 10 * time.Millisecond }},
		{"crash, first", lost, func(s *decisionInput) { s.crashCount = 1 }},
		{"crash, second in a row", lost, func(s *decisionInput) { s.crashCount = 2 }},
		{"crash, third in a row", lost, func(s *decisionInput) { s.crashCount = 3 }},
		{"refused by the node, two crashes before", full, func(s *decisionInput) { s.crashCount = 2 }},
		{"refused by the node, three crashes before", full, func(s *decisionInput) { s.crashCount = 3 }},
		{"refused as poison by the node", answer.Fields{Status: 503, Ran: answer.No, Reason: crashcount.Refused}, nil},
		{"key revoked", answer.Fields{Status: 503, Ran: answer.No, Reason: tenant.Refused}, nil},
		{"key unknown to an older configuration", answer.Fields{Status: 503, Ran: answer.No, Reason: "stale"}, nil},
		{"ran, no memory for the answer", answer.Fields{Status: 502, Ran: answer.Maybe, Reason: holder.Reason}, nil},
		{"no memory for the answer, not run", answer.Fields{Status: 503, Ran: answer.No, Reason: holder.Reason}, nil},
		{"no other endpoint", full, func(s *decisionInput) { s.hasUntried = false }},
	}
	var out strings.Builder
	for _, c := range cases {
		s := decisionInput{answer: answer.New(c.answer), idempotent: true, upstreamSends: 1, maxUpstreamSends: 2, sends: 1, timeLeft: time.Second, expectedServiceTime: 100 * time.Millisecond, budgetAvailable: true, hasUntried: true}
		if c.change != nil {
			c.change(&s)
		}
		a := nextAction(s)
		fmt.Fprintf(&out, "%-36s %-8s", c.name, a)
		if a == giveUp {
			fmt.Fprintf(&out, " with %d", failureStatus(s.answer))
		}
		out.WriteString("\n")
	}
	goldie.New(t).Assert(t, "next", []byte(out.String()))
}
