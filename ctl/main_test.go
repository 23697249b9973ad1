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

// answers is a server that gives the answers of the API's own golden files, each request's in turn and the last again.
type answers struct {
	mutex  sync.Mutex
	queues map[string][]answer
	seen   []string
}

type answer struct {
	status int
	body   string
}

// key identifies a request apart from the order and the escapes of its query.
func key(method, target string) string {
	u, err := url.Parse(target)
	if err != nil {
		return method + " " + target
	}
	return method + " " + u.Path + "?" + u.Query().Encode()
}

// load adds the answers of one golden file: "# METHOD TARGET [BODY]", the status and the body.
func (a *answers) load(t *testing.T, name string) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "mesh", "operator", "testdata", "cases", name+".golden"))
	if err != nil {
		t.Fatal(err)
	}
	for block := range strings.SplitSeq(strings.TrimPrefix(string(data), "# "), "\n# ") {
		lines := strings.SplitN(block, "\n", 3)
		w := strings.SplitN(lines[0], " ", 3)
		status, err := strconv.Atoi(lines[1])
		if err != nil {
			t.Fatal(err)
		}
		k := key(w[0], w[1])
		a.queues[k] = append(a.queues[k], answer{status: status, body: strings.TrimSuffix(lines[2], "\n") + "\n"})
	}
}

func (a *answers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.seen = append(a.seen, fmt.Sprintf("%s by %s", key(r.Method, r.URL.String()), r.Header.Get("Wisteriaspoke-Writer")))
	k := key(r.Method, r.URL.String())
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

// down returns an address where nothing listens.
func down(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// mute returns the address of a server that takes a request and ends the connection without an answer.
func mute(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// run runs one command line and returns its output, errors and exit code. The clock moves only by pauses.
func run(line string, terminal bool) string {
	var out, errors bytes.Buffer
	now := time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)
	p := &core.Program{
		In: strings.NewReader(""), Out: &out, Err: &errors, Terminal: terminal,
		Now: func() time.Time { return now }, Pause: func(d time.Duration) { now = now.Add(d) },
	}
	code := p.Run(strings.Fields(line))
	return fmt.Sprintf("%s%sexit code %d\n", out.String(), errors.String(), code)
}

// Guards against a changed table, message or exit code, which people and scripts read, and against a request that
// changes something and is sent to a second server although the first may have got it.
func TestCases(t *testing.T) {
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
			a := &answers{queues: map[string][]answer{}}
			server := httptest.NewServer(a)
			defer server.Close()
			places := []string{"{server}", server.Listener.Addr().String(), "{down}", down(t), "{mute}", mute(t)}
			var b strings.Builder
			for line := range strings.Lines(string(data)) {
				line = strings.TrimSuffix(line, "\n")
				if file, ok := strings.CutPrefix(line, "!answers "); ok {
					a.load(t, file)
					continue
				}
				fmt.Fprintf(&b, "$ wisteriaspoke %s\n", line)
				line, terminal := strings.CutPrefix(line, "!terminal ")
				if !strings.Contains(line, "--server") && !strings.Contains(line, "!noserver") {
					line += " --server {server}"
				}
				line = strings.ReplaceAll(line, "!noserver", "")
				b.WriteString(backward(places, run(forward(places, line)+" --writer anna@desk", terminal)))
				for _, s := range a.seen {
					fmt.Fprintf(&b, "  %s\n", s)
				}
				a.seen = nil
			}
			goldie.New(t).Assert(t, filepath.Join("cases", name), []byte(b.String()))
		})
	}
}

// forward puts addresses for their names, and backward the names for the addresses.
func forward(places []string, s string) string { return strings.NewReplacer(places...).Replace(s) }

func backward(places []string, s string) string {
	var swapped []string
	for i := 0; i < len(places); i += 2 {
		swapped = append(swapped, places[i+1], places[i])
	}
	return strings.NewReplacer(swapped...).Replace(s)
}
