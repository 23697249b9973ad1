package forwarder

import (
	"net/http"
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/crashcount"
	"wisteriaspoke.example/mesh/exchanger"
	"wisteriaspoke.example/mesh/holder"
	"wisteriaspoke.example/mesh/tenant"
)

// action is the next step after an answer.
type action string

const (
	deliver action = "deliver" // return the answer to the caller
	reroute action = "reroute" // send to another endpoint; needs no retry budget, as no upstream has received it
	retry   action = "repeat"  // send to another endpoint; withdraws one retry from the budget
	giveUp  action = "give up" // refuse or fail the request
)

const (
	maxSends       = 4   // of one request, so that requests do not circulate when all endpoints are overloaded
	minRunFraction = 0.5 // fraction of the expected service time that must be left for another send
)

// decisionInput is the input of nextAction.
type decisionInput struct {
	answer              answer.Answer
	idempotent          bool
	upstreamSends       int // sends that reached an upstream, including this one if it did
	maxUpstreamSends    int // limit of upstreamSends
	sends               int
	timeLeft            time.Duration    // until the deadline
	expectedServiceTime time.Duration    // of the rule's calls
	budgetAvailable     bool             // a retry can be withdrawn from the budget
	hasUntried          bool             // an endpoint has not been tried yet
	crashCount          crashcount.Count // of the request, including a crash during this send
}

// nextAction decides what to do after an answer.
func nextAction(s decisionInput) action {
	a := s.answer
	if a.Ran() == answer.Yes && (a.Status() < 500 || !s.idempotent) {
		return deliver
	}
	tooShort := float64(s.timeLeft) < minRunFraction*float64(s.expectedServiceTime)
	if tooShort || !s.hasUntried || s.sends >= maxSends || s.crashCount.Quarantined() || refusedForGood(a) || foundNoRoom(a) {
		return finalAction(a)
	}
	if a.Ran() == answer.No && !reachedUpstream(a) {
		return reroute
	}
	if s.upstreamSends >= s.maxUpstreamSends || a.Ran() != answer.No && !s.idempotent || !s.budgetAvailable || !s.crashCount.AllowsRetry() {
		return finalAction(a)
	}
	return retry
}

// refusedForGood reports whether other endpoints would refuse the request for the same reason.
func refusedForGood(a answer.Answer) bool {
	return a.Reason() == crashcount.Refused || a.Reason() == tenant.Refused
}

// foundNoRoom reports whether the call may have run and its answer was dropped as a node holds too many bodies. Another
// send would only add to them.
func foundNoRoom(a answer.Answer) bool { return a.Ran() == answer.Maybe && a.Reason() == holder.Reason }

func finalAction(a answer.Answer) action {
	if a.Ran() == answer.Yes {
		return deliver
	}
	return giveUp
}

// reachedUpstream reports whether the upstream may have received the request, run or not.
func reachedUpstream(a answer.Answer) bool {
	return a.Ran() != answer.No || a.Reason() == exchanger.ReasonShed || a.Reason() == exchanger.ReasonWrongInstance
}

// endpointFailed reports whether the answer counts as a failure of the endpoint.
func endpointFailed(a answer.Answer) bool {
	switch {
	case a.Ran() == answer.Yes:
		return a.Status() >= 500
	case a.Ran() == answer.Maybe:
		return a.Reason() != exchanger.ReasonCancelled && a.Reason() != holder.Reason
	}
	return a.Reason() == exchanger.ReasonShed || a.Reason() == exchanger.ReasonWrongInstance || a.Reason() == exchanger.ReasonUnreachable
}

// failureStatus returns the status for a caller whose request got no response from an upstream.
func failureStatus(a answer.Answer) int {
	switch {
	case a.Ran() == answer.No:
		return http.StatusServiceUnavailable
	case a.Reason() == exchanger.ReasonTimeout:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
