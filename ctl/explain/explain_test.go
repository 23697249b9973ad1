package explain

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/ctl/core"
)

// TestNodeAnswers guards against EXPLAIN: text that omits a reason or a term of the node's answer, and a changed JSON form.
// The answers are those of the golden file of mesh/explainer.
func TestNodeAnswers(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "..", "mesh", "explainer", "testdata", "pages.golden"))
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	var out strings.Builder
	run := func(args ...string) {
		var stdout, stderr bytes.Buffer
		p := &core.Program{In: strings.NewReader(""), Out: &stdout, Err: &stderr, Now: time.Now, Pause: func(time.Duration) {}}
		code := p.Run(append([]string{"explain"}, args...))
		fmt.Fprintf(&out, "%s%sexit code %d\n\n", stdout.String(), stderr.String(), code)
	}
	for i := 0; i+1 < len(lines); i += 2 {
		want, err := url.ParseQuery(strings.ReplaceAll(lines[i], "{hash}", "00ff"))
		if err != nil {
			t.Fatal(err)
		}
		if !want.Has("path") {
			continue
		}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/explain" || r.URL.Query().Encode() != want.Encode() {
				t.Errorf("the node is asked for %v, want %v", r.URL, want)
			}
			if r.Header.Get("Authorization") != "Bearer " && r.Header.Get("Authorization") != "Bearer" {
				t.Error("the operators' token is sent to the admin address")
			}
			if strings.HasPrefix(lines[i+1], `{"kind"`) {
				w.WriteHeader(http.StatusBadRequest)
			}
			fmt.Fprintln(w, lines[i+1])
		}))
		args := []string{"--token=secret", server.Listener.Addr().String(), want.Get("method"), want.Get("host"), want.Get("path")}
		for flag, key := range map[string]string{"--tenant=": "tenant", "--key-hash=": "keyhash"} {
			if want.Has(key) {
				args = append(args, flag+want.Get(key))
			}
		}
		fmt.Fprintf(&out, "$ %s\n", lines[i])
		run(args...)
		if i == 0 {
			run(append(args, "--json")...)
		}
		server.Close()
	}
	fmt.Fprintln(&out, "$ without a host")
	run("127.0.0.1:1", "GET")
	goldie.New(t).Assert(t, "answers", []byte(out.String()))
}
