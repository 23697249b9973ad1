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

// TestProgram guards against parts that do not find each other, an address that is not logged, and a stop that leaves
// a watch open or cuts it.
func TestProgram(t *testing.T) {
	k := kernel.New()
	for _, s := range kernel.All[*Server](k) {
		s.Listen = "127.0.0.1:0"
	}
	for _, p := range kernel.All[*keeper.Keeper](k) {
		p.History, p.HistoryBytes = 10, keeper.MaxSpec
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
	c := connect(t, "http://"+line.Listen, ample)
	if _, err := c.Create(t.Context(), head("a", "", "1")); err != nil {
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
