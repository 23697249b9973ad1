package core

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"wisteriaspoke.example/ctl/client"
	"wisteriaspoke.example/mesh/fault"
)

// Exit codes of the command line, which scripts rely on.
const (
	exitOK          = 0
	exitFailed      = 1
	exitInvalid     = 2
	exitTakenBack   = 3
	exitConflict    = 4
	exitUnavailable = 5
)

const description = `Shows and changes the configuration of a mesh.

Exit codes: 0 ok, 1 failed, or the outcome is unknown, 2 invalid input, 3 the move was taken back, 4 conflict with another operator, 5 unavailable: no server or no store answers, and nothing was changed.`

// ErrTakenBack is returned by a command that waited for the end of a move when the move was taken back.
var ErrTakenBack = errors.New("the move was taken back")

// settings are the flags that all commands share.
type settings struct {
	Server  []string      `help:"Operators' API of the nodes, as URL or IP:PORT; the next one is tried when one is down." placeholder:"URL" env:"WISTERIASPOKE_SERVER"`
	Token   string        `help:"Bearer token of the operators' API." env:"WISTERIASPOKE_TOKEN"`
	Writer  string        `help:"Who is named in the history; USER@HOST unless set." env:"WISTERIASPOKE_WRITER"`
	Output  string        `help:"Format of answers: ${enum}." enum:"table,json" default:"table" env:"WISTERIASPOKE_OUTPUT"`
	Timeout time.Duration `help:"Limit of one request." default:"30s" env:"WISTERIASPOKE_TIMEOUT"`
}

// Program runs one command line; set its fields before Run.
type Program struct {
	In       io.Reader
	Out      io.Writer
	Err      io.Writer
	Terminal bool
	Now      func() time.Time
	Pause    func(time.Duration)
}

// NewProgram returns a program that uses the process's standard streams and the real clock.
func NewProgram() *Program {
	info, err := os.Stdout.Stat()
	terminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	return &Program{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Terminal: terminal, Now: time.Now, Pause: time.Sleep}
}

// Run parses the arguments, runs the command and returns the exit code.
func (p *Program) Run(args []string) int {
	var s settings
	helpShown := false
	options := []kong.Option{
		kong.Name("wisteriaspoke"), kong.Description(description), kong.Writers(p.Out, p.Err),
		kong.ConfigureHelp(kong.HelpOptions{WrapUpperBound: 100, NoExpandSubcommands: false}),
		kong.Exit(func(int) { helpShown = true }),
	}
	for _, r := range sortedRegistrations() {
		options = append(options, kong.DynamicCommand(r.name, r.help, "", r.factory()))
	}
	parser, err := kong.New(&s, options...)
	if err != nil {
		return p.printError(err, s)
	}
	parsed, err := parser.Parse(args)
	if helpShown {
		return exitOK
	}
	if err != nil {
		return p.printError(fault.Wrap(fault.Invalid, err, "the command line is invalid", "see wisteriaspoke --help"), s)
	}
	if s.Timeout <= 0 {
		return p.printError(fault.New(fault.Invalid, "--timeout is "+s.Timeout.String(), "set it to more than 0s"), s)
	}
	if s.Writer == "" {
		s.Writer = defaultWriter()
	}
	session := &Session{
		Client: &client.Client{Servers: s.Server, Token: s.Token, Writer: s.Writer, Timeout: s.Timeout},
		In:     p.In, Out: p.Out, JSON: s.Output == "json", Terminal: p.Terminal, Now: p.Now, Pause: p.Pause,
	}
	if err := parsed.Run(session); err != nil {
		return p.printError(err, s)
	}
	return exitOK
}

// defaultWriter returns USER@HOST, without the host if it is unknown.
func defaultWriter() string {
	name := "unknown"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	host, err := os.Hostname()
	if err != nil {
		return name
	}
	return name + "@" + host
}

// printError prints an error in the output format and returns its exit code.
func (p *Program) printError(err error, s settings) int {
	var f *fault.Error
	if s.Output == "json" && errors.As(err, &f) {
		e := json.NewEncoder(p.Err)
		e.SetEscapeHTML(false)
		_ = e.Encode(map[string]any{"kind": f.Kind(), "what": strings.TrimSuffix(f.Error(), "; "+f.Remedy()), "remedy": f.Remedy()})
		return exitCode(err)
	}
	fmt.Fprintf(p.Err, "wisteriaspoke: %v\n", err)
	return exitCode(err)
}

// exitCode returns the exit code of an error. An unknown outcome gets exitFailed rather than exitUnavailable, which
// promises that nothing was changed, so that a script does not retry a request that may have run.
func exitCode(err error) int {
	if errors.Is(err, ErrTakenBack) {
		return exitTakenBack
	}
	switch fault.KindOf(err) {
	case fault.Invalid:
		return exitInvalid
	case fault.Conflict:
		return exitConflict
	case fault.Unavailable, fault.Throttled:
		return exitUnavailable
	}
	return exitFailed
}
