package admitter

import (
	"context"
	"io"
	"net/http"
	"testing"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/share"
)

// BenchmarkPath measures a call over loopback HTTP, to the upstream alone and through the node beside it.
func BenchmarkPath(b *testing.B) {
	url, _ := upstream(b)
	n := run(b, "127.0.0.1:7001", url)
	n.publisher.Publish(configuration(b, 1, share.Share{}))
	n.publisher.Publish(endpoints(1, "127.0.0.1:7001"))
	for _, c := range []struct{ name, url string }{{"direct", url}, {"node", n.url}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r, err := http.NewRequest("GET", c.url+"/a", nil)
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

// BenchmarkDo measures the decisions on a call's way, without HTTP.
func BenchmarkDo(b *testing.B) {
	url, _ := upstream(b)
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
