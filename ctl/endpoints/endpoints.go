package endpoints

import (
	"fmt"
	"io"
	"net/url"
	"time"

	"wisteriaspoke.example/ctl/core"
	"wisteriaspoke.example/mesh/group"
)

func init() {
	core.Register("endpoints", 40, "List the endpoints of all services or of one.", func() any { return &Endpoints{} })
}

// Endpoints is the command "endpoints".
type Endpoints struct {
	Service string `arg:"" optional:"" help:"Name of the service."`
}

// Run lists the endpoints that each data centre last wrote to the store.
func (c *Endpoints) Run(s *core.Session) error {
	var answer struct {
		Groups []group.Group `json:"groups"`
	}
	query := url.Values{}
	if c.Service != "" {
		query.Set("service", c.Service)
	}
	raw, err := s.Get("/v1/endpoints", query, &answer)
	if err != nil {
		return err
	}
	return s.Print(raw, func(w io.Writer) {
		fmt.Fprintln(w, "SERVICE\tCENTRE\tADDRESS\tVERSION\tSLOTS\tSTATE\tJOINED")
		for _, g := range answer.Groups {
			for _, e := range g.Endpoints() {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", g.Service(), g.DataCentre(), e.Address(), e.Version(), e.Slots(),
					e.State(), e.Joined().UTC().Format(time.RFC3339))
			}
		}
	})
}
