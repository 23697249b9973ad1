package kernel

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"wisteriaspoke.example/mesh/grace"
	"wisteriaspoke.example/mesh/logger"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailed  = 1
	exitInvalid = 2
)

type commonSettings struct {
	Check bool          `help:"Check the settings and exit."`
	Level string        `help:"Lowest level of log lines." enum:"debug,info,warn,error" default:"info" env:"WISTERIASPOKE_LEVEL"`
	Drain time.Duration `help:"Limit of a graceful shutdown." default:"10s" env:"WISTERIASPOKE_DRAIN"`
	Grace time.Duration `help:"Time between SIGTERM and the kill of the process; takes the place of --drain if above 0." env:"WISTERIASPOKE_GRACE"`
}

// Main parses the settings of all registered parts from the arguments and the environment, runs the program until SIGINT
// or SIGTERM, and returns its exit code.
func Main(name, description string, args []string) int {
	k := New()
	plugins := kong.Plugins{}
	for _, n := range k.parts {
		plugins = append(plugins, n.part)
	}
	var cli struct {
		commonSettings
		kong.Plugins
	}
	cli.Plugins = plugins
	parser, err := kong.New(&cli, kong.Name(name), kong.Description(description), kong.UsageOnError())
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return exitFailed
	}
	if _, err := parser.Parse(args); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v; see --help\n", name, err)
		return exitInvalid
	}
	if err := k.Check(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: settings are invalid:\n%v\n", name, err)
		return exitInvalid
	}
	if cli.Check {
		fmt.Println("settings are valid")
		return exitOK
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(cli.Level)); err != nil {
		return exitInvalid
	}
	lines := logger.New(os.Stdout, level)
	defer lines.Close()
	k.Log = slog.New(lines).With("program", name)
	k.Grace = grace.ForDrain(cli.Drain)
	if cli.Grace > 0 {
		k.Grace = grace.New(cli.Grace)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := k.Run(ctx); err != nil {
		k.Log.Error("failed", "error", err)
		return exitFailed
	}
	return exitOK
}
