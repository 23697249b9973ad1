package server

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"testing"

	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/object"
	"wisteriaspoke.example/objects/keeper"
	"wisteriaspoke.example/objects/throttle"
)

// TestKernelRun guards against a part whose dependencies are not resolved, a listen address that is not logged, and a
// stop that leaves a watch open or breaks its connection.
func TestKernelRun(t *testing.T) {
	k := kernel.New()
	for _, s := range kernel.All[*Server](k) {
		s.Listen = "127.0.0.1:0"
	}
	for _, p := range kernel.All[*keeper.Keeper](k) {
		p.History, p.HistoryBytes = 10, keeper.MaxSpecSize
	}
	for _, p := range kernel.All[*throttle.Throttle](k) {
		p.Reads, p.Writes = 10, 10
	}
	logged, log := io.Pipe()
	k.Log = slog.New(slog.NewJSONHandler(log, nil))
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan error, 1)
	go func() {
		ended <- k.Run(ctx)
		log.Close()
	}()
	var line struct{ Listen string }
	if err := json.NewDecoder(logged).Decode(&line); err != nil {
		t.Fatal(err)
	}
	go io.Copy(io.Discard, logged)
	c := newClient(t, "http://"+line.Listen, testTimeout)
	if _, err := c.Create(t.Context(), newHead("a", "", "1")); err != nil {
		t.Fatal(err)
	}
	err := c.Watch(t.Context(), "heads", "a", "", func(event.Change, object.Object) { stop() })
	if !errors.Is(err, io.EOF) {
		t.Errorf("the watch ended with %v, want a clean end", err)
	}
	if err := <-ended; err != nil {
		t.Errorf("the program ended with %v", err)
	}
}
