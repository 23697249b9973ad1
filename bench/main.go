package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	_ "wisteriaspoke.example/bench/calls"
	_ "wisteriaspoke.example/bench/crashes"
	_ "wisteriaspoke.example/bench/distribution"
	_ "wisteriaspoke.example/bench/footprint"
	_ "wisteriaspoke.example/bench/membership"
	"wisteriaspoke.example/bench/planner"
	"wisteriaspoke.example/bench/reporter"
	_ "wisteriaspoke.example/bench/rollouts"
)

type settings struct {
	List bool     `help:"Print the names of the measurements and exit."`
	Only []string `help:"Run only these measurements." placeholder:"NAME"`
	Plan string   `help:"Print the capacity tables for a file of figures and exit." placeholder:"FILE"`
}

func main() {
	var s settings
	kong.Parse(&s, kong.Name("wisteriaspoke-bench"), kong.Description("Prints the project's figures as JSON lines."))
	if s.List {
		for _, name := range reporter.Names() {
			fmt.Println(name)
		}
		return
	}
	if err := run(s); err != nil {
		fmt.Fprintf(os.Stderr, "wisteriaspoke-bench: %v\n", err)
		os.Exit(1)
	}
}

func run(s settings) error {
	if s.Plan == "" {
		return reporter.Run(os.Stdout, s.Only)
	}
	results, err := os.Open(s.Plan)
	if err != nil {
		return err
	}
	defer results.Close()
	return planner.WriteTables(os.Stdout, results)
}
