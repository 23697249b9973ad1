package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/ctl/core"
)

// fakeAPI replays the answers in the golden files of the operators' API. Equal requests get their answers in the order
// of the files, and the last answer again after that.
type fakeAPI struct {
	mutex    sync.Mutex
	queues   map[string][]answer
	requests []string
}

type answer struct {
	status int
	body   string
}

// requestKey identifies a request, whatever the order and escaping of its query.
func requestKey(method, target string) string {
	u, err := url.Parse(target)
	if err != nil {
		return method + " " + target
	}
	return method + " " + u.Path + "?" + u.Query().Encode()
}

// loadAnswers adds the answers of one golden file, each with the lines "# METHOD TARGET [BODY]", status and body.
func (a *fakeAPI) loadAnswers(t *testing.T, name string) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "mesh", "operator", "testdata", "cases", name+".golden"))
	if err != nil {
		t.Fatal(err)
	}
	for block := range strings.SplitSeq(strings.TrimPrefix(string(data), "# "), "\n# ") {
		lines := strings.SplitN(block, "\n", 3)
		words := strings.SplitN(lines[0], " ", 3)
		status, err := strconv.Atoi(lines[1])
		if err != nil {
			t.Fatal(err)
		}
		k := requestKey(words[0], words[1])
		a.queues[k] = append(a.queues[k], answer{status: status, body: strings.TrimSuffix(lines[2], "\n") + "\n"})
	}
}

func (a *fakeAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.requests = append(a.requests, fmt.Sprintf("%s by %s",
		requestKey(r.Method, r.URL.String()), r.Header.Get("Wisteriaspoke-Writer")))
	k := requestKey(r.Method, r.URL.String())
	queue := a.queues[k]
	if len(queue) == 0 {
		http.Error(w, "no answer for "+k, http.StatusTeapot)
		return
	}
	if len(queue) > 1 {
		a.queues[k] = queue[1:]
	}
	w.WriteHeader(queue[0].status)
	_, _ = w.Write([]byte(queue[0].body))
}

// closedAddress returns an address where nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// abortingAddress returns the address of a server that reads a request and closes the connection without a response.
func abortingAddress(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// runCommand runs one command line and returns its output, errors and exit code. Only pauses advance the clock.
func runCommand(line string, terminal bool) string {
	var out, errors bytes.Buffer
	now := time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)
	p := &core.Program{
		In: strings.NewReader(""), Out: &out, Err: &errors, Terminal: terminal,
		Now: func() time.Time { return now }, Pause: func(d time.Duration) { now = now.Add(d) },
	}
	code := p.Run(strings.Fields(line))
	return fmt.Sprintf("%s%sexit code %d\n", out.String(), errors.String(), code)
}

// TestCommandOutput guards against a changed table, message or exit code, which people and scripts rely on. It also
// guards against sending a request that changes something to a second server although the first may have received it.
func TestCommandOutput(t *testing.T) {
	files, err := filepath.Glob("testdata/cases/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no cases", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txt")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			a := &fakeAPI{queues: map[string][]answer{}}
			server := httptest.NewServer(a)
			defer server.Close()
			placeholders := []string{"{server}", server.Listener.Addr().String(),
				"{down}", closedAddress(t), "{mute}", abortingAddress(t)}
			var b strings.Builder
			for line := range strings.Lines(string(data)) {
				line = strings.TrimSuffix(line, "\n")
				if file, ok := strings.CutPrefix(line, "!answers "); ok {
					a.loadAnswers(t, file)
					continue
				}
				fmt.Fprintf(&b, "$ wisteriaspoke %s\n", line)
				line, terminal := strings.CutPrefix(line, "!terminal ")
				if !strings.Contains(line, "--server") && !strings.Contains(line, "!noserver") {
					line += " --server {server}"
				}
				line = strings.ReplaceAll(line, "!noserver", "")
				b.WriteString(restorePlaceholders(placeholders,
					runCommand(replacePlaceholders(placeholders, line)+" --writer anna@desk", terminal)))
				for _, s := range a.requests {
					fmt.Fprintf(&b, "  %s\n", s)
				}
				a.requests = nil
			}
			goldie.New(t).Assert(t, filepath.Join("cases", name), []byte(b.String()))
		})
	}
}

// replacePlaceholders replaces each placeholder with its address.
func replacePlaceholders(placeholders []string, s string) string {
	return strings.NewReplacer(placeholders...).Replace(s)
}

// restorePlaceholders replaces each address with its placeholder, as addresses differ from run to run.
func restorePlaceholders(placeholders []string, s string) string {
	var swapped []string
	for i := 0; i < len(placeholders); i += 2 {
		swapped = append(swapped, placeholders[i+1], placeholders[i])
	}
	return strings.NewReplacer(swapped...).Replace(s)
}
