package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"wisteriaspoke.example/load/caller"
	"wisteriaspoke.example/load/generator"
	"wisteriaspoke.example/load/pacer"
	"wisteriaspoke.example/load/tally"
)

type settings struct {
	generator.Generator
	pacer.Pacer
	caller.Caller
	tally.Tally
}

func main() {
	var s settings
	parser := kong.Must(&s, kong.Name("wisteriaspoke-load"),
		kong.Description("Sends calls at a fixed rate and prints what came back as one JSON object."))
	_, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s.Generator.Run(ctx, &s.Pacer, &s.Caller, &s.Tally)
	if err := json.NewEncoder(os.Stdout).Encode(s.Tally.Report()); err != nil {
		fmt.Fprintf(os.Stderr, "wisteriaspoke-load: %v\n", err)
		os.Exit(1)
	}
}
