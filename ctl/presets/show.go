package presets

import (
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strings"

	"wisteriaspoke.example/ctl/core"
	"wisteriaspoke.example/mesh/route"
	"wisteriaspoke.example/mesh/service"
)

type show struct {
	Name string `arg:"" help:"Name of the preset."`
}

func (c *show) Run(s *core.Session) error {
	var answer struct {
		summary
		Definitions []service.Service `json:"definitions"`
	}
	raw, err := s.Get("/v1/presets/"+url.PathEscape(c.Name), nil, &answer)
	if err != nil {
		return err
	}
	return s.Print(raw, func(w io.Writer) {
		fmt.Fprintf(w, "preset %s: %s, revision %d by %s, token %s\n\n", answer.Name, answer.State, answer.Revision, answer.Writer, answer.Token)
		fmt.Fprintln(w, "SERVICE\tVERSION\tTIMEOUT\tDEPENDS\tROUTES")
		for _, d := range answer.Definitions {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", d.Name(), d.Version(), d.Timeout(), orAny(strings.Join(d.Dependencies(), ",")), len(d.Routes()))
		}
		fmt.Fprintln(w, "\nSERVICE\tROUTE\tHOST\tPATH\tMETHODS\tHEADERS\tCLASS\tTIMEOUT\tIDEMPOTENT")
		for _, d := range answer.Definitions {
			for _, r := range d.Routes() {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", d.Name(), r.Name(), orAny(r.Host()), r.PathPrefix(),
					orAny(strings.Join(r.Methods(), ",")), orAny(formatHeaders(r)), r.Class(),
					effectiveTimeout(d, r), formatIdempotent(r))
			}
		}
	})
}

func orAny(s string) string {
	if s == "" {
		return "any"
	}
	return s
}

func formatHeaders(r route.Route) string {
	var pairs []string
	for _, name := range slices.Sorted(maps.Keys(r.Headers())) {
		pairs = append(pairs, name+"="+r.Headers()[name])
	}
	return strings.Join(pairs, ",")
}

// effectiveTimeout returns the route's timeout or, if it has none, that of its service.
func effectiveTimeout(d service.Service, r route.Route) string {
	if r.Timeout() > 0 {
		return r.Timeout().String()
	}
	return d.Timeout().String()
}

// formatIdempotent returns for which methods a call may run more than once.
func formatIdempotent(r route.Route) string {
	post := r.Idempotent("POST")
	get := r.Idempotent("GET")
	switch {
	case post && get:
		return "yes"
	case get:
		return "by method"
	}
	return "no"
}
