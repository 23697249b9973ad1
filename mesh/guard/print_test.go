package guard

import (
	"testing"

	"wisteriaspoke.example/mesh/call"
)

// TestFingerprint guards against a resent call that gets another fingerprint, and against different calls that get the
// same one.
func TestFingerprint(t *testing.T) {
	base := call.Fields{
		ID: 1, Method: "POST", Host: "swim.example", Path: "/entries?a=1", Body: []byte("body"), Service: "meldung", Version: "v1",
		Route: "all", Tenant: "club", TimeLeft: 5000,
	}
	keyed := base
	keyed.IdempotencyKey = "k1"
	cases := []struct {
		name   string
		base   call.Fields
		change func(*call.Fields)
		same   bool
	}{
		{"another attempt", base, func(f *call.Fields) { f.ID, f.Version, f.TimeLeft, f.Depth = 2, "v2", 1000, 3 }, true},
		{"another port", base, func(f *call.Fields) { f.Host = "Swim.Example:8080" }, true},
		{"another header", base, func(f *call.Fields) { f.Headers = []call.Header{{Name: "X", Value: "1"}} }, true},
		{"another host", base, func(f *call.Fields) { f.Host = "run.example" }, false},
		{"another method", base, func(f *call.Fields) { f.Method = "PUT" }, false},
		{"another path", base, func(f *call.Fields) { f.Path = "/entries?a=2" }, false},
		{"another body", base, func(f *call.Fields) { f.Body = []byte("bodY") }, false},
		{"another service", base, func(f *call.Fields) { f.Service = "ergebnis" }, false},
		{"a shifted boundary", base, func(f *call.Fields) { f.Path, f.Body = "/entries?a=1body", nil }, false},
		{"a key", base, func(f *call.Fields) { f.IdempotencyKey = "k1" }, false},
		{"same key, another body", keyed, func(f *call.Fields) { f.Body = nil }, true},
		{"another key", keyed, func(f *call.Fields) { f.IdempotencyKey = "k2" }, false},
		{"another tenant's key", keyed, func(f *call.Fields) { f.Tenant = "other" }, false},
	}
	for _, c := range cases {
		f := c.base
		c.change(&f)
		if same := Fingerprint(call.New(c.base)) == Fingerprint(call.New(f)); same != c.same {
			t.Errorf("%s: the same fingerprint is %v", c.name, same)
		}
	}
	for _, hosts := range [][2]string{{"127.0.0.1:7001", "10.0.0.2:7002"}, {"[::1]:7001", "[::1]"}, {"::1", "10.0.0.1"}} {
		if hostName(hosts[0]) != hostName(hosts[1]) {
			t.Errorf("hosts %v differ", hosts)
		}
	}
	if n := len(Fingerprint(call.New(base))); n != fingerprintLength {
		t.Errorf("the fingerprint has %d characters", n)
	}
}
