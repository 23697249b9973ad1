package trace

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"wisteriaspoke.example/ctl/core"
	"wisteriaspoke.example/ctl/tracer"
	"wisteriaspoke.example/mesh/fault"
)

func init() {
	core.Register("trace", 60, "Tell from the logs of nodes how a request ended and why.", func() any { return &Trace{} })
}

// Trace is the command "trace".
type Trace struct {
	ID    string   `arg:"" help:"Identifier of the request."`
	Files []string `arg:"" help:"Logs of nodes, one file each." type:"existingfile"`
}

// Run reads the log files and prints the log lines of the request and a summary of how it ended.
func (c *Trace) Run(s *core.Session) error {
	t := tracer.New(c.ID)
	for _, name := range c.Files {
		if err := readLog(t, name); err != nil {
			return fault.Wrap(fault.Invalid, err, "the log "+name+" cannot be read", "check the file")
		}
	}
	answer, err := json.Marshal(map[string]any{"id": c.ID, "cause": t.Summary(), "lines": t.Entries()})
	if err != nil {
		return err
	}
	return s.Print(append(answer, '\n'), func(w io.Writer) {
		for _, l := range t.Lines() {
			fmt.Fprintln(w, l)
		}
		fmt.Fprintln(w, t.Summary())
	})
}

func readLog(t *tracer.Tracer, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	node := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
	return errors.Join(t.Read(node, f), f.Close())
}
