package admitter

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/share"
)

// startEchoUpstream starts an upstream that echoes the body with its Content-Length.
func startEchoUpstream(b *testing.B) string {
	b.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.Write(body)
	}))
	b.Cleanup(s.Close)
	return s.URL
}

// BenchmarkPath measures a call over loopback HTTP, directly to the upstream and through its node.
func BenchmarkPath(b *testing.B) {
	url := startEchoUpstream(b)
	n := run(b, "127.0.0.1:7001", url)
	n.publisher.Publish(configuration(b, 1, share.Share{}))
	n.publisher.Publish(endpoints(1, "127.0.0.1:7001"))
	for _, c := range []struct {
		name, url string
		body      int
	}{{"direct", url, 0}, {"node", n.url, 0}, {"direct64k", url, 64 << 10}, {"node64k", n.url, 64 << 10}} {
		body := strings.Repeat("x", c.body)
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r, err := http.NewRequest("POST", c.url+"/a", strings.NewReader(body))
				if err != nil {
					b.Fatal(err)
				}
				r.Host = "swim.example"
				p, err := http.DefaultClient.Do(r)
				if err != nil {
					b.Fatal(err)
				}
				io.Copy(io.Discard, p.Body)
				p.Body.Close()
				if p.StatusCode != 200 {
					b.Fatal(p.Status)
				}
			}
		})
	}
}

// BenchmarkDo measures the routing and balancing of a call, without HTTP.
func BenchmarkDo(b *testing.B) {
	url, _ := startUpstream(b)
	n := run(b, "127.0.0.1:7001", url)
	n.publisher.Publish(configuration(b, 1, share.Share{}))
	n.publisher.Publish(endpoints(1, "127.0.0.1:7002", "127.0.0.1:7003"))
	whole := answer.New(answer.Fields{Status: 200, Ran: answer.Yes})
	n.wire.peer = func(context.Context, string, call.Call) (answer.Answer, error) { return whole, nil }
	header := func(string) string { return "" }
	f := call.Fields{Method: "GET", Host: "swim.example", Path: "/a"}
	b.ReportAllocs()
	for b.Loop() {
		if a := n.admitter.Do(context.Background(), f, header); a.Status() != 200 {
			b.Fatal(a.Reason())
		}
	}
}
