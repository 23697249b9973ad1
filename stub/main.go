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
	maxBodyBytes = 4 << 20
	// maxKeys limits the memory of runsByKey.
	maxKeys = 100_000
)

// settings are the values of the flags.
type settings struct {
	listen         string
	version        string
	failPermille   int
	failAfterCalls int64
	delay          time.Duration
	crashPath      string
	drainTimeout   time.Duration
}

// parseFlags parses and checks the flags.
func parseFlags(args []string, output io.Writer) (settings, error) {
	var s settings
	var delay int64
	f := flag.NewFlagSet("wisteriaspoke-stub", flag.ContinueOnError)
	f.SetOutput(output)
	f.StringVar(&s.listen, "listen", "127.0.0.1:0", "`address` to listen on")
	f.StringVar(&s.version, "version", "v1", "version in the responses")
	f.IntVar(&s.failPermille, "fail", 0, "share of calls answered with 500, in `permille`")
	f.Int64Var(&s.failAfterCalls, "fail-after", 0, "number of `calls` after which all are answered with 500; 0 for never")
	f.Int64Var(&delay, "delay", 0, "delay of each response, in `milliseconds`")
	f.StringVar(&s.crashPath, "crash-on", "", "`path` that makes the process exit without a response")
	f.DurationVar(&s.drainTimeout, "drain", 10*time.Second, "limit of a graceful stop")
	if err := f.Parse(args); err != nil {
		return s, err
	}
	s.delay = time.Duration(delay) * time.Millisecond
	if s.failPermille < 0 || s.failPermille > 1000 {
		return s, fmt.Errorf("--fail is %d; set it to a permille, from 0 to 1000", s.failPermille)
	}
	if s.delay < 0 || s.failAfterCalls < 0 || s.drainTimeout <= 0 {
		return s, errors.New("--delay, --fail-after or --drain is negative or zero; set a positive value")
	}
	return s, nil
}

// stub answers calls with the delays, failures and crashes that its settings ask for.
type stub struct {
	settings  settings
	randomN   func(n int) int
	exit      func()
	calls     atomic.Int64
	mutex     sync.Mutex // guards runsByKey
	runsByKey map[string]int
}

func newStub(s settings) *stub {
	return &stub{settings: s, randomN: rand.IntN, exit: func() { os.Exit(3) }, runsByKey: map[string]int{}}
}

// ServeHTTP answers one call. GET /runs returns the runs by idempotency key, POST /echo returns the request's body.
func (s *stub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/runs" {
		s.serveRuns(w, r)
		return
	}
	n := s.calls.Add(1)
	if !s.countRun(r.Header.Get("Idempotency-Key")) {
		http.Error(w, "too many idempotency keys; restart the stub", http.StatusInsufficientStorage)
		return
	}
	if s.settings.crashPath != "" && r.URL.Path == s.settings.crashPath {
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
	if s.shouldFail(n) {
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

func (s *stub) shouldFail(n int64) bool {
	if s.settings.failAfterCalls > 0 && n > s.settings.failAfterCalls {
		return true
	}
	return s.randomN(1000) < s.settings.failPermille
}

// countRun counts a run with the idempotency key; it returns false if there are too many keys.
func (s *stub) countRun(key string) bool {
	if key == "" {
		return true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, known := s.runsByKey[key]; !known && len(s.runsByKey) >= maxKeys {
		return false
	}
	s.runsByKey[key]++
	return true
}

// serveRuns writes the number of runs with the key in the query, or with each key if the query has none.
func (s *stub) serveRuns(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if key := r.URL.Query().Get("key"); key != "" {
		writeJSON(w, map[string]int{key: s.runsByKey[key]})
		return
	}
	writeJSON(w, s.runsByKey)
}

func (s *stub) echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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

// serve answers calls until ctx is cancelled, and then waits up to drainTimeout for calls in flight.
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
	shutdownCtx, cancel := context.WithTimeout(context.Background(), s.settings.drainTimeout)
	defer cancel()
	err := server.Shutdown(shutdownCtx)
	<-served
	log.Info("stopped", "calls", s.calls.Load())
	return err
}

func main() {
	c, err := parseFlags(os.Args[1:], os.Stderr)
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
