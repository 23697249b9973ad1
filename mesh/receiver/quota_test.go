package receiver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/plan"
	"wisteriaspoke.example/mesh/quota"
	"wisteriaspoke.example/mesh/rule"
	"wisteriaspoke.example/mesh/tenant"
)

// fakeLimiter refuses the tenant "over" and records what the receiver does.
type fakeLimiter struct{ trace []string }

func (l *fakeLimiter) Take(_ context.Context, t *tenant.Tenant, _ bool) (time.Duration, bool) {
	l.trace = append(l.trace, "take "+t.Name())
	return 1500 * time.Millisecond, t.Name() != "over"
}

func (l *fakeLimiter) Return(t *tenant.Tenant) { l.trace = append(l.trace, "return "+t.Name()) }

// TestQuota guards against requests over the limit that are forwarded, tokens that are taken for requests without a limit
// or on public routes, and tokens that are lost, or returned although the request may have run or the token is too old.
func TestQuota(t *testing.T) {
	limited := func(name string) *tenant.Tenant {
		return tenant.New(tenant.Fields{Name: name, RatePerSecond: 5, Burst: 5, KeyHashes: [][]byte{tenant.HashKey(name)}})
	}
	p := plan.New(3, plan.Limits{}, nil, []*rule.Rule{
		rule.New(rule.Fields{Name: "r", Host: "h", Prefix: "/a/", Timeout: 5 * time.Second}),
		rule.New(rule.Fields{Name: "p", Host: "h", Prefix: "/p/", Timeout: 5 * time.Second, Public: true}),
	}).WithTenants([]*tenant.Tenant{
		limited("below"), limited("over"),
		tenant.New(tenant.Fields{Name: "unlimited", KeyHashes: [][]byte{tenant.HashKey("unlimited")}}),
	})
	var out strings.Builder
	for _, c := range []struct {
		name, path, key string
		answer          answer.Fields
		passes          time.Duration // until the answer, by the clock that counts the time for which the host is suspended
	}{
		{"below the limit", "/a/x", "below", answer.Fields{Status: 200, Ran: answer.Yes}, 0},
		{"over the limit", "/a/x", "over", answer.Fields{Status: 200, Ran: answer.Yes}, 0},
		{"no limit", "/a/x", "unlimited", answer.Fields{Status: 200, Ran: answer.Yes}, 0},
		{"public", "/p/x", "over", answer.Fields{Status: 200, Ran: answer.Yes}, 0},
		{"unknown key", "/a/x", "other", answer.Fields{Status: 200, Ran: answer.Yes}, 0},
		{"refused as not run", "/a/x", "below", answer.Fields{Status: 503, Ran: answer.No, RetryAfter: 250}, 0},
		{"not run before its deadline", "/a/x", "below", answer.Fields{Status: 504, Ran: answer.No}, 0},
		{"may have run", "/a/x", "below", answer.Fields{Status: 504, Ran: answer.Maybe}, 0},
		{"not run, the host was suspended", "/a/x", "below", answer.Fields{Status: 503, Ran: answer.No, RetryAfter: 250}, quota.ReturnTerm},
	} {
		forwarded := false
		var now atomic.Int64
		f := &fakeParts{plan: p, forward: func(context.Context, call.Fields) answer.Answer {
			forwarded = true
			now.Add(int64(c.passes))
			return answer.New(c.answer)
		}}
		l := &fakeLimiter{}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		r := &Receiver{now: func() time.Duration { return time.Duration(now.Load()) }, log: slog.New(slog.DiscardHandler), forwarder: f, views: f, identity: f, proofs: f, dialect: f, rateLimiter: l,
			Ahead: 8, Held: 1 << 20, bodyBuffer: 1 << 20, Stall: 10 * time.Second}
		ctx, cancel := context.WithCancel(context.Background())
		end := r.serve(ctx, listener.(*net.TCPListener))
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		io.WriteString(conn, "GET "+c.path+" HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: "+c.key+"\r\n\r\n")
		w, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		conn.Close()
		cancel()
		<-end
		fmt.Fprintf(&out, "%s: %d, wait %q, forwarded %v, %s\n", c.name, w.StatusCode, w.Header.Get("Wait"), forwarded, strings.Join(l.trace, ", "))
	}
	goldie.New(t).Assert(t, "quota", []byte(out.String()))
}
