package exchanger

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// TestInvalidStatuses guards against FORGED: a status that a response cannot have, as failing upstreams send it, that reaches
// the caller, and against interim responses that are taken for the response.
func TestInvalidStatuses(t *testing.T) {
	const rest = " X\r\nId: %s\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nok"
	interim := func(status string) string { return "HTTP/1.1 " + status + " X\r\nId: %s\r\nSigned: 1\r\n\r\n" }
	var out strings.Builder
	show := func(name string, s script) {
		u := newUpstream(t, s)
		x := newExchanger(u.listener.Addr().String())
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		a := x.Exchange(ctx, request("one"))
		x.Exchange(ctx, request("two"))
		cancel()
		fmt.Fprintf(&out, "%-40s status %d, ran %-5s reason %-8s body %-5q connections %d\n", name, a.Status(), a.Ran(), a.Reason(), a.Body(), x.Opened())
		x.CloseIdleConnections()
	}
	for _, status := range []string{"000", "001", "099", "+20", "-20", "20", "2000", "200", "204", "599", "600", "799", "999"} {
		show(status, script{response: "HTTP/1.1 " + status + rest, keepOpen: true})
	}
	show("000 without a length", script{response: "HTTP/1.1 000 X\r\nId: %s\r\nSigned: 1\r\n\r\nok"})
	show("000 that says that it has not run", script{response: "HTTP/1.1 000 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", keepOpen: true})
	show("101", script{response: interim("101") + wholeResponse, keepOpen: true})
	for _, status := range []string{"100", "102", "103", "199"} {
		show(status+", then the response", script{response: interim(status) + wholeResponse, keepOpen: true})
		show(status+" alone", script{response: interim(status)})
	}
	show("100 without headers, then the response", script{response: "HTTP/1.1 100 Continue\r\n\r\n" + wholeResponse, keepOpen: true})
	show("100 twice, then the response", script{response: interim("100") + interim("100") + wholeResponse, keepOpen: true})
	show("100 a hundred times", script{response: strings.Repeat(interim("100"), 100) + wholeResponse, keepOpen: true})
	goldie.New(t).Assert(t, "statuses", []byte(out.String()))
}
