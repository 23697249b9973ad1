package forwarder

import (
	"net/http"
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/exchanger"
)

// action is what happens after an answer.
type action string

const (
	deliver action = "deliver" // the answer goes to the caller
	reroute action = "reroute" // another endpoint gets the request, as no upstream has seen it
	repeat  action = "repeat"  // another endpoint gets the request, at the cost of a repeat
	giveUp  action = "give up" // the request is refused or has failed
)

const (
	maxSends = 4   // of one request to nodes, so that a crowd does not circulate
	leastRun = 0.5 // part of the usual time that must be left for another send
)

// situation is what the next action depends on.
type situation struct {
	answer     answer.Answer
	idempotent bool
	arrivals   int // sends that have reached an upstream, this one included if it has
	attempts   int // most sends that may reach an upstream
	sends      int
	left       time.Duration // until the deadline
	expected   time.Duration // usual time of the rule's calls
	allowed    bool          // a repeat can be paid for
	others     bool          // there is an endpoint that was not tried
}

// next decides what happens after an answer.
func next(s situation) action {
	a := s.answer
	if a.Ran() == answer.Yes && (a.Status() < 500 || !s.idempotent) {
		return deliver
	}
	short := float64(s.left) < leastRun*float64(s.expected)
	if short || !s.others || s.sends >= maxSends {
		return end(a)
	}
	if a.Ran() == answer.No && !arrived(a) {
		return reroute
	}
	if s.arrivals >= s.attempts || a.Ran() != answer.No && !s.idempotent || !s.allowed {
		return end(a)
	}
	return repeat
}

func end(a answer.Answer) action {
	if a.Ran() == answer.Yes {
		return deliver
	}
	return giveUp
}

// arrived reports whether the upstream has seen the request, run or not.
func arrived(a answer.Answer) bool {
	return a.Ran() != answer.No || a.Reason() == exchanger.ReasonShed || a.Reason() == exchanger.ReasonWrongInstance
}

// failed reports whether the answer speaks against the endpoint.
func failed(a answer.Answer) bool {
	switch {
	case a.Ran() == answer.Yes:
		return a.Status() >= 500
	case a.Ran() == answer.Maybe:
		return a.Reason() != exchanger.ReasonCancelled
	}
	return a.Reason() == exchanger.ReasonShed || a.Reason() == exchanger.ReasonWrongInstance || a.Reason() == exchanger.ReasonUnreachable
}

// outcome returns the status for a caller whose request got no answer of an upstream.
func outcome(a answer.Answer) int {
	switch {
	case a.Ran() == answer.No:
		return http.StatusServiceUnavailable
	case a.Reason() == exchanger.ReasonTimeout:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
