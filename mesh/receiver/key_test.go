package receiver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/plan"
	"wisteriaspoke.example/mesh/rule"
	"wisteriaspoke.example/mesh/tenant"
)

// TestKeys guards against requests without a tenant's key that are forwarded, keys and forged tenants that reach an
// upstream, headers that change although the configuration has no tenants, and keys that count, or are called unknown, by a
// configuration that may be out of date.
func TestKeys(t *testing.T) {
	rules := []*rule.Rule{
		rule.New(rule.Fields{Name: "r", Host: "h", Prefix: "/a/", Timeout: 5 * time.Second, Priority: 2}),
		rule.New(rule.Fields{Name: "p", Host: "h", Prefix: "/p/", Timeout: 5 * time.Second, Priority: 1, Public: true}),
	}
	without := plan.New(3, plan.Limits{}, nil, rules)
	with := without.WithTenants([]*tenant.Tenant{
		tenant.New(tenant.Fields{Name: "t1", Priority: 1, KeyHashes: [][]byte{tenant.HashKey("k1"), tenant.HashKey("k2")}}),
		tenant.New(tenant.Fields{Name: "t2"}),
		// An operator's empty key must not make all requests without a key its tenant's.
		tenant.New(tenant.Fields{Name: "t3", KeyHashes: [][]byte{tenant.HashKey("")}}),
	})
	var out strings.Builder
	for _, c := range []struct {
		name    string
		plan    *plan.Plan
		path    string
		headers string
		revoke  bool
		stale   bool
	}{
		{"a key", with, "/a/x", "Key: k1\r\n", false, false},
		{"another key and a forged tenant", with, "/a/x", "Key: k2\r\nTenant: t2\r\n", false, false},
		{"an unknown key", with, "/a/x", "Key: k3\r\n", false, false},
		{"no key", with, "/a/x", "Tenant: t1\r\n", false, false},
		{"public, no key", with, "/p/x", "Tenant: t1\r\n", false, false},
		{"public, a key", with, "/p/x", "Key: k1\r\n", false, false},
		{"public, an unknown key", with, "/p/x", "Key: k3\r\n", false, false},
		{"no route", with, "/b/x", "Key: k1\r\n", false, false},
		{"no tenants", without, "/a/x", "Key: k1\r\nTenant: t9\r\n", false, false},
		{"revocations, a key", with, "/a/x", "Key: k1\r\n", true, false},
		{"revocations, an unknown key", with, "/a/x", "Key: k3\r\n", true, false},
		{"out of date, a key", with, "/a/x", "Key: k1\r\n", true, true},
		{"out of date, an unknown key", with, "/a/x", "Key: k3\r\n", true, true},
		{"out of date, no key", with, "/a/x", "", true, true},
		{"out of date, public, a key", with, "/p/x", "Key: k1\r\n", true, true},
		{"out of date, no tenants", without, "/a/x", "Key: k1\r\n", true, true},
	} {
		forwarded := "nothing"
		f := &fakeParts{plan: c.plan, revoke: c.revoke, stale: c.stale, forward: func(_ context.Context, q call.Fields) answer.Answer {
			var kept []string
			for _, h := range q.Headers {
				if h.Name == "Key" || h.Name == "Tenant" {
					kept = append(kept, " "+h.Name+"="+h.Value)
				}
			}
			slices.Sort(kept) // the headers come from a map
			forwarded = fmt.Sprintf("tenant %q, hash %v by version %d, priority %d, headers%s", q.Tenant, len(q.KeyHash) > 0, q.KeyVersion, q.Priority, strings.Join(kept, ""))
			return answer.New(answer.Fields{Status: 200, Ran: answer.Yes})
		}}
		_, address := startServer(t, f)
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		io.WriteString(conn, "GET "+c.path+" HTTP/1.1\r\nHost: h\r\nId: 1\r\n"+c.headers+"\r\n")
		r, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		conn.Close()
		fmt.Fprintf(&out, "%s: %d, Retry-After %v, forwarded %s\n", c.name, r.StatusCode, r.Header.Get("Wait") != "", forwarded)
	}
	goldie.New(t).Assert(t, "keys", []byte(out.String()))
}
