package linker

import (
	"context"
	"testing"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
)

// TestImpossibleStatus guards against FORGED: an answer with a status that no response can have, as a node of an earlier
// release passes it on from an upstream, that reaches the caller as a response.
func TestImpossibleStatus(t *testing.T) {
	for _, c := range []struct{ status, want int }{{0, 502}, {99, 502}, {101, 502}, {200, 200}, {599, 599}, {600, 502}, {-200, 502}} {
		a, b := newNode(t), newNode(t, withServe(func(context.Context, call.Call) answer.Answer {
			return answer.New(answer.Fields{Status: c.status, Ran: answer.Yes, Body: []byte("body")})
		}))
		got, err := a.Call(t.Context(), b.Address(), newCall(""))
		if err != nil || got.Status() != c.want {
			t.Errorf("status %d: got %d, %v, want %d", c.status, got.Status(), err, c.want)
		}
		if c.status != c.want && (got.Ran() != answer.Maybe || len(got.Body()) > 0) {
			t.Errorf("status %d: ran %s, body %q", c.status, got.Ran(), got.Body())
		}
	}
}
