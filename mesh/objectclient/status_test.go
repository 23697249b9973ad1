package objectclient

import (
	"fmt"
	"net/http"
	"testing"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
)

// TestImpossibleStatus guards against a status that no response can have, as a failing store or a proxy before it sends it,
// that counts as a proof that a write was refused.
func TestImpossibleStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
			connection, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer connection.Close()
			fmt.Fprintf(connection, "HTTP/1.1 %s X\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}", status)
		})
		if _, err := c.Update(t.Context(), object.New("heads", "a", "7", nil)); fault.KindOf(err) != fault.MayHaveRun {
			t.Errorf("status %s, update: %v, want a fault of kind %s", status, err, fault.MayHaveRun)
		}
		if _, err := c.Get(t.Context(), "heads", "a"); fault.KindOf(err) != fault.Unavailable {
			t.Errorf("status %s, get: %v, want a fault of kind %s", status, err, fault.Unavailable)
		}
	}
}
