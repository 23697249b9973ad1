package server

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"go.uber.org/goleak"

	"wisteriaspoke.example/objects/injector"
	"wisteriaspoke.example/objects/keeper"
	"wisteriaspoke.example/objects/meter"
	"wisteriaspoke.example/objects/throttle"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startServer serves a store with the history length and rates, and returns its base URL.
//
// The rate limiter's clock does not advance, so that each bucket allows exactly rate calls in a test.
func startServer(t *testing.T, history, rate int) (*Server, string) {
	now := time.Unix(0, 0)
	s := &Server{
		storage:  &keeper.Keeper{History: history, HistoryBytes: 2 * keeper.MaxSpecSize},
		limiter:  &throttle.Throttle{Writes: rate, Reads: rate, Now: func() time.Time { return now }},
		counter:  &meter.Meter{},
		faults:   &injector.Injector{},
		stopping: make(chan struct{}),
	}
	h := httptest.NewServer(s.routes())
	t.Cleanup(h.Close)
	t.Cleanup(func() { s.stopOnce.Do(func() { close(s.stopping) }) })
	return s, h.URL
}

// TestHTTPResponses guards against a status or body that departs from the published conventions.
//
// A case is a file with a sequence of requests to one store, each "> METHOD PATH" and then the body. "$LARGE" is
// replaced by a value over the limit, "@N" before the method reads only N lines of a stream, and " token=" after the
// path sets the bearer token.
func TestHTTPResponses(t *testing.T) {
	files, err := filepath.Glob("testdata/requests/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".txt")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			s, url := startServer(t, 4, 12)
			if strings.Contains(name, "token") {
				s.Token = "secret"
			}
			var got strings.Builder
			for _, request := range strings.Split(string(data), "> ")[1:] {
				got.WriteString(exchange(t, url, request))
			}
			goldie.New(t).Assert(t, name, []byte(got.String()))
		})
	}
}

// exchange sends a request of a case and returns its response, in the form of the golden files.
func exchange(t *testing.T, url, request string) string {
	head, body, _ := strings.Cut(request, "\n")
	lines := 0
	if strings.HasPrefix(head, "@") {
		fmt.Sscanf(head, "@%d", &lines)
		_, head, _ = strings.Cut(head, " ")
	}
	method, path, _ := strings.Cut(head, " ")
	path, token, _ := strings.Cut(path, " token=")
	body = strings.ReplaceAll(body, "$LARGE", strings.Repeat("x", keeper.MaxSpecSize))
	q, err := http.NewRequestWithContext(t.Context(), method, url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("Authorization", "Bearer "+token)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	r, err := transport.RoundTrip(q)
	if err != nil {
		return fmt.Sprintf("> %s\nno answer\n", head)
	}
	defer r.Body.Close()
	era := ""
	if n := r.Header.Get(eraHeader); n != "" {
		era = ", era " + n
	}
	return fmt.Sprintf("> %s\n%d%s\n%s", head, r.StatusCode, era, readBody(t, r.Body, lines))
}

// readBody returns the whole body, or only its first lines unless lines is zero.
func readBody(t *testing.T, body io.Reader, lines int) string {
	if lines == 0 {
		data, err := io.ReadAll(body)
		if err != nil {
			t.Fatal(err)
		}
		return strings.TrimSuffix(string(data), "\n") + "\n"
	}
	var out strings.Builder
	r := bufio.NewReader(body)
	for range lines {
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		out.WriteString(line)
	}
	return out.String()
}
