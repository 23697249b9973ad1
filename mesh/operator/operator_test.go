package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"go.uber.org/goleak"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/object"
	"wisteriaspoke.example/mesh/report"
)

var noon = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

func init() {
	kernel.Register("store", 10, func() kernel.Part { return newFakeStore() })
}

// fakeStore is a part with an in-memory store that is also a reporter and an explainer.
type fakeStore struct {
	mutex       sync.Mutex
	count       int
	unavailable bool
	objects     map[string]object.Object
}

func newFakeStore() *fakeStore { return &fakeStore{objects: map[string]object.Object{}} }

func (f *fakeStore) Start(context.Context, *kernel.Kernel) (<-chan error, error) { return nil, nil }

func (f *fakeStore) Reports() []report.Report {
	return []report.Report{report.New("obb-a", noon.Add(-time.Second), 7, noon.Add(-time.Minute), map[uint64]int{7: 6}, nil)}
}

func (f *fakeStore) Explain(method, host, path string, header func(string) string) any {
	return map[string]string{"method": method, "host": host, "path": path, "beta": header("X-Beta"), "route": "lists"}
}

func (f *fakeStore) begin() error {
	f.mutex.Lock()
	if f.unavailable {
		return fault.New(fault.Unavailable, "connection refused", "")
	}
	return nil
}

func (f *fakeStore) Get(_ context.Context, plural, name string) (object.Object, error) {
	err := f.begin()
	defer f.mutex.Unlock()
	o, ok := f.objects[plural+"/"+name]
	if err == nil && !ok {
		err = fault.New(fault.NotFound, "no such object", "")
	}
	return o, err
}

func (f *fakeStore) List(_ context.Context, plural string) ([]object.Object, string, error) {
	err := f.begin()
	defer f.mutex.Unlock()
	var all []object.Object
	for _, o := range f.objects {
		if o.Plural() == plural {
			all = append(all, o)
		}
	}
	return all, "", err
}

func (f *fakeStore) Create(ctx context.Context, o object.Object) (object.Object, error) {
	return f.Update(ctx, o)
}

func (f *fakeStore) Update(_ context.Context, o object.Object) (object.Object, error) {
	err := f.begin()
	defer f.mutex.Unlock()
	key := o.Plural() + "/" + o.Name()
	if err == nil && f.objects[key].Revision() != o.Revision() {
		err = fault.New(fault.Conflict, "another revision", "")
	}
	if err != nil {
		return object.Object{}, err
	}
	f.count++
	f.objects[key] = object.New(o.Plural(), o.Name(), strconv.Itoa(f.count), o.Spec())
	return f.objects[key], nil
}

// command runs a line that starts with "!": !out makes the store unavailable, !in available again, and
// !put PLURAL/NAME JSON writes an object.
func (f *fakeStore) command(line string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case "!out":
		f.unavailable = true
	case "!in":
		f.unavailable = false
	case "!put":
		key, spec, _ := strings.Cut(rest, " ")
		plural, name, _ := strings.Cut(key, "/")
		f.count++
		f.objects[key] = object.New(plural, name, strconv.Itoa(f.count), []byte(spec))
	}
}

// startAPI runs the part's server with fixed tokens and a fixed clock, and returns its address.
func startAPI(t *testing.T, f *fakeStore) string {
	t.Helper()
	a := newAPI(f, func() time.Time { return noon })
	tokens := 0
	a.accepter.NewToken = func() string {
		tokens++
		return fmt.Sprintf("token-%d", tokens)
	}
	// Operations fail at the first pause, so that no case depends on the clock.
	a.accepter.Pause = func(context.Context, time.Duration) error { return context.DeadlineExceeded }
	a.reporters = []reporter{f}
	a.explainers = []explainer{f}
	return startServer(t, a)
}

// sendLine sends one line, METHOD PATH [BODY or @FILE], and returns the status and the body of the answer.
func sendLine(t *testing.T, address, token, line string) string {
	t.Helper()
	w := strings.SplitN(line, " ", 3)
	var body []byte
	if len(w) == 3 {
		body = []byte(w[2])
		if file, ok := strings.CutPrefix(w[2], "@"); ok {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			body = data
		}
	}
	r, err := http.NewRequest(w[0], "http://"+address+w[1], bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+token)
	r.Header.Set(writerHeader, "anna@desk")
	r.Header.Set(deadlineHeader, "30000")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%d\n%s", response.StatusCode, data)
}

// Guards against a changed answer, status or error text; the command wisteriaspoke decodes these.
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
			f := newFakeStore()
			address := startAPI(t, f)
			var b strings.Builder
			for line := range strings.Lines(string(data)) {
				line = strings.TrimSuffix(line, "\n")
				if strings.HasPrefix(line, "!") {
					f.command(line)
					continue
				}
				fmt.Fprintf(&b, "# %s\n%s", line, sendLine(t, address, "secret", line))
			}
			goldie.New(t).Assert(t, filepath.Join("cases", name), []byte(b.String()))
		})
	}
}

// Guards against an API that accepts requests without the token.
func TestToken(t *testing.T) {
	address := startAPI(t, newFakeStore())
	for _, token := range []string{"", "Secret", "secret2", "secre"} {
		got := sendLine(t, address, token, "GET /v1/presets")
		if !strings.HasPrefix(got, "401\n") || !strings.Contains(got, `"kind":"denied"`) {
			t.Errorf("token %q: %s", token, got)
		}
	}
}

// Guards against a part that starts without a token, does not log its address, or leaks goroutines after a stop.
func TestPart(t *testing.T) {
	// fasthttp keeps one sleeping goroutine per server for up to 10 s after a shutdown.
	const workerCleanup = "github.com/valyala/fasthttp.(*workerPool).Start.func2"
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent(), goleak.IgnoreAnyFunction(workerCleanup))
	if err := (&Operator{}).Check(); err != nil {
		t.Errorf("no address: %v", err)
	}
	bad := (&Operator{Operators: "nowhere"}).Check()
	if bad == nil || !strings.Contains(bad.Error(), "--operators is") || !strings.Contains(bad.Error(), "--operators-token is") {
		t.Errorf("bad settings: %v", bad)
	}
	o := &Operator{Operators: "127.0.0.1:0", OperatorsToken: "secret"}
	if err := o.Check(); err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	k := kernel.New()
	k.Log = slog.New(slog.NewTextHandler(&log, nil))
	ctx, cancel := context.WithCancel(context.Background())
	end, err := o.Start(ctx, k)
	if err != nil {
		t.Fatal(err)
	}
	address := regexp.MustCompile(`operators=(127\.0\.0\.1:[1-9]\d*)`).FindStringSubmatch(log.String())
	if address == nil {
		t.Fatalf("no address in %q", log.String())
	}
	if got := sendLine(t, address[1], "secret", "GET /v1/history"); got != "200\n{\"history\":[]}\n" {
		t.Errorf("got %s", got)
	}
	http.DefaultClient.CloseIdleConnections()
	if err := o.Drain(ctx); err != nil {
		t.Error(err)
	}
	cancel()
	if err := <-end; err != nil {
		t.Error(err)
	}
}

// Guards against an operation that runs longer than its client waits, so that the client does not receive the outcome.
func TestLimit(t *testing.T) {
	for given, want := range map[string]time.Duration{
		"": maxOperationTime, "x": maxOperationTime, "0": maxOperationTime, "-5": maxOperationTime, "99999999999": maxOperationTime,
		"30000": maxOperationTime, "1000": 800 * time.Millisecond,
	} {
		if got := operationTimeout(given); got != want {
			t.Errorf("limit of %q is %s, not %s", given, got, want)
		}
	}
}

// Guards against an error kind that is answered as an internal error.
func TestStatus(t *testing.T) {
	for _, k := range []fault.Kind{
		fault.Invalid, fault.Conflict, fault.NotFound, fault.Unavailable, fault.Throttled,
		fault.Denied, fault.Gone, fault.NotRun, fault.MayHaveRun,
	} {
		if s := httpStatus(k); s < 400 || s == 500 {
			t.Errorf("%s has status %d", k, s)
		}
	}
	if data, err := json.Marshal(newFailure(fault.New(fault.Conflict, "lost", "look"))); err != nil ||
		string(data) != `{"kind":"conflict","what":"lost","remedy":"look"}` {
		t.Errorf("got %s, %v", data, err)
	}
}
