package presets

import (
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"

	"wisteriaspoke.example/ctl/core"
	"wisteriaspoke.example/mesh/checker"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/head"
)

func init() {
	core.Register("presets", 10, "Store presets and put one in force.", func() any { return &Presets{} })
}

// Presets is the command "presets".
type Presets struct {
	Apply   apply   `cmd:"" help:"Check a preset file and store it; the preset in force does not change."`
	List    list    `cmd:"" help:"List the stored presets."`
	Show    show    `cmd:"" help:"Show the services and routes of a preset."`
	Diff    diff    `cmd:"" help:"Show what differs between two presets."`
	Use     use     `cmd:"" help:"Put a stored preset in force."`
	History history `cmd:"" help:"List the last versions in force, with who put them in force."`
}

type apply struct {
	File string `arg:"" help:"Preset file, or - for the standard input."`
}

func (c *apply) Run(s *core.Session) error {
	data, err := readFile(s, c.File)
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "the preset file cannot be read", "name a file that exists")
	}
	p, err := checker.New().Check(data)
	if err != nil {
		return fault.Wrap(fault.Invalid, err, c.File+" is not accepted", "")
	}
	var answer struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
		Services int    `json:"services"`
	}
	raw, err := s.Send("PUT", "/v1/presets/"+p.Name(), data, &answer)
	if err != nil {
		return err
	}
	return s.Print(raw, func(w io.Writer) {
		fmt.Fprintf(w, "accepted: preset %s is stored as revision %d with %d services\n", answer.Name, answer.Revision, answer.Services)
	})
}

func readFile(s *core.Session, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(s.In)
	}
	return os.ReadFile(file)
}

// summary describes one stored preset.
type summary struct {
	Name     string `json:"name"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
	Services int    `json:"services"`
	Writer   string `json:"writer"`
	Token    string `json:"token"`
}

type list struct{}

func (c *list) Run(s *core.Session) error {
	var answer struct {
		Presets []summary `json:"presets"`
	}
	raw, err := s.Get("/v1/presets", nil, &answer)
	if err != nil {
		return err
	}
	return s.Print(raw, func(w io.Writer) {
		fmt.Fprintln(w, "PRESET\tSTATE\tREVISION\tSERVICES\tWRITER")
		for _, p := range answer.Presets {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", p.Name, p.State, p.Revision, p.Services, p.Writer)
		}
	})
}

type use struct {
	Name string `arg:"" help:"Name of the preset."`
}

func (c *use) Run(s *core.Session) error {
	var answer struct {
		Preset  string `json:"preset"`
		Version uint64 `json:"version"`
	}
	raw, err := s.Send("POST", "/v1/presets/"+url.PathEscape(c.Name)+"/use", nil, &answer)
	if err != nil {
		return err
	}
	return s.Print(raw, func(w io.Writer) {
		fmt.Fprintf(w, "accepted: preset %s is version %d; wisteriaspoke status --wait tells when it is in force everywhere\n", answer.Preset, answer.Version)
	})
}

type history struct{}

func (c *history) Run(s *core.Session) error {
	var answer struct {
		History []head.Entry `json:"history"`
	}
	raw, err := s.Get("/v1/history", nil, &answer)
	if err != nil {
		return err
	}
	return s.Print(raw, func(w io.Writer) {
		fmt.Fprintln(w, "VERSION\tPRESET\tWRITER\tTOKEN")
		for _, e := range answer.History {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", e.Version, e.Preset, e.Writer, e.Token)
		}
	})
}

type diff struct {
	From string `arg:"" help:"Name of a preset."`
	To   string `arg:"" help:"Name of another preset."`
}

func (c *diff) Run(s *core.Session) error {
	var answer struct {
		Differences []struct {
			Service string   `json:"service"`
			Change  string   `json:"change"`
			Details []string `json:"details"`
		} `json:"differences"`
	}
	raw, err := s.Get("/v1/diff", url.Values{"from": {c.From}, "to": {c.To}}, &answer)
	if err != nil {
		return err
	}
	return s.Print(raw, func(w io.Writer) {
		if len(answer.Differences) == 0 {
			fmt.Fprintf(w, "%s and %s do not differ\n", c.From, c.To)
			return
		}
		fmt.Fprintln(w, "SERVICE\tCHANGE\tDETAIL")
		for _, d := range answer.Differences {
			for _, detail := range d.Details {
				fmt.Fprintf(w, "%s\t%s\t%s\n", d.Service, d.Change, strings.ReplaceAll(detail, "\t", " "))
			}
		}
	})
}
