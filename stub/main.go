package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	maxBody = 4 << 20
	// maxKeys bounds the memory of the counts by key.
	maxKeys = 100_000
)

// settings are the values of the flags.
type settings struct {
	listen    string
	version   string
	fail      int   // permille
	failAfter int64 // calls
	delay     time.Duration
	crashOn   string
	drain     time.Duration
}

// parse reads the flags and checks their values.
func parse(args []string, output io.Writer) (settings, error) {
	var s settings
	var delay int64
	f := flag.NewFlagSet("wisteriaspoke-stub", flag.ContinueOnError)
	f.SetOutput(output)
	f.StringVar(&s.listen, "listen", "127.0.0.1:0", "`address` to listen on")
	f.StringVar(&s.version, "version", "v1", "version in the responses")
	f.IntVar(&s.fail, "fail", 0, "share of calls answered with 500, in `permille`")
	f.Int64Var(&s.failAfter, "fail-after", 0, "number of `calls` after which all are answered with 500; 0 for never")
	f.Int64Var(&delay, "delay", 0, "delay of each response, in `milliseconds`")
	f.StringVar(&s.crashOn, "crash-on", "", "`path` that makes the process exit without a response")
	f.DurationVar(&s.drain, "drain", 10*time.Second, "limit of a graceful stop")
	if err := f.Parse(args); err != nil {
		return s, err
	}
	s.delay = time.Duration(delay) * time.Millisecond
	if s.fail < 0 || s.fail > 1000 {
		return s, fmt.Errorf("--fail is %d; set it to a permille, from 0 to 1000", s.fail)
	}
	if s.delay < 0 || s.failAfter < 0 || s.drain <= 0 {
		return s, errors.New("--delay, --fail-after or --drain is negative or zero; set a positive value")
	}
	return s, nil
}

// stub answers calls as its settings say.
type stub struct {
	settings settings
	random   func(n int) int
	exit     func()
	count    atomic.Int64
	mutex    sync.Mutex
	runs     map[string]int
}

func newStub(s settings) *stub {
	return &stub{settings: s, random: rand.IntN, exit: func() { os.Exit(3) }, runs: map[string]int{}}
}

// ServeHTTP answers one call.
func (s *stub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/runs" {
		s.serveRuns(w, r)
		return
	}
	n := s.count.Add(1)
	if !s.run(r.Header.Get("Idempotency-Key")) {
		http.Error(w, "too many idempotency keys; restart the stub", http.StatusInsufficientStorage)
		return
	}
	if s.settings.crashOn != "" && r.URL.Path == s.settings.crashOn {
		s.exit()
		return
	}
	if s.settings.delay > 0 {
		select {
		case <-time.After(s.settings.delay):
		case <-r.Context().Done():
			return
		}
	}
	if s.fails(n) {
		http.Error(w, "failed as configured", http.StatusInternalServerError)
		return
	}
	if r.Method == http.MethodPost && r.URL.Path == "/echo" {
		s.echo(w, r)
		return
	}
	writeJSON(w, answer{Version: s.settings.version, Path: r.URL.Path, Count: n})
}

// answer is the response to most calls.
type answer struct {
	Version string `json:"version"`
	Path    string `json:"path"`
	Count   int64  `json:"count"`
}

func (s *stub) fails(n int64) bool {
	if s.settings.failAfter > 0 && n > s.settings.failAfter {
		return true
	}
	return s.random(1000) < s.settings.fail
}

// run counts a run of the key and reports false if there are too many keys.
func (s *stub) run(key string) bool {
	if key == "" {
		return true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, known := s.runs[key]; !known && len(s.runs) >= maxKeys {
		return false
	}
	s.runs[key]++
	return true
}

// serveRuns returns the number of runs of the key in the query, or of all keys.
func (s *stub) serveRuns(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if key := r.URL.Query().Get("key"); key != "" {
		writeJSON(w, map[string]int{key: s.runs[key]})
		return
	}
	writeJSON(w, s.runs)
}

func (s *stub) echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "the body was not read: "+err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// serve answers calls until ctx ends, and then those in flight.
func serve(ctx context.Context, log *slog.Logger, l net.Listener, s *stub) error {
	server := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	log.Info("listening", "address", l.Addr().String(), "version", s.settings.version)
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	limited, cancel := context.WithTimeout(context.Background(), s.settings.drain)
	defer cancel()
	err := server.Shutdown(limited)
	<-served
	log.Info("stopped", "calls", s.count.Load())
	return err
}

func main() {
	c, err := parse(os.Args[1:], os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil)).With("program", "wisteriaspoke-stub")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	l, err := net.Listen("tcp", c.listen)
	if err != nil {
		fmt.Fprintf(os.Stderr, "--listen %s cannot be listened on: %v\n", c.listen, err)
		os.Exit(1)
	}
	if err := serve(ctx, log, l, newStub(c)); err != nil {
		log.Error("failed", "error", err)
		os.Exit(1)
	}
}
