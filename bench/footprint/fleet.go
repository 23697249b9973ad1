package footprint

import (
	"encoding/json"
	"fmt"
	"time"

	"wisteriaspoke.example/mesh/config"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/group"
	"wisteriaspoke.example/mesh/service"
)

// routesEach is the number of routes of each service.
const routesEach = 5

// scale is a number of services and of their endpoints.
type scale struct {
	services  int
	endpoints int
}

// scales are today's size, one between, and the target's.
var scales = []scale{{3, 18}, {48, 1000}, {480, 8600}}

// centres are the data centres that endpoints are spread over.
const centres = 10

func name(i int) string { return fmt.Sprintf("service-%03d", i) }

// configuration returns a whole configuration of the scale.
func configuration(s scale, version uint64) (config.Config, error) {
	services := make(map[string]service.Service, s.services)
	for i := range s.services {
		routes := ""
		for r := range routesEach {
			if r > 0 {
				routes += ","
			}
			routes += fmt.Sprintf(`{"name":"route-%d","host":"%s.example","path":"/api/%d","methods":["GET","POST"],"class":"normal","timeout":3000}`, r, name(i), r)
		}
		definition := fmt.Sprintf(`{"name":%q,"version":"1.0.%d","routes":[%s]}`, name(i), version, routes)
		var v service.Service
		if err := json.Unmarshal([]byte(definition), &v); err != nil {
			return config.Config{}, err
		}
		services[name(i)] = v
	}
	return config.New(version, "bench", services, nil), nil
}

// groups returns all sets of endpoints of the scale; the version of the endpoints is that of the configuration.
func groups(s scale, version, sequence uint64) []group.Group {
	type place struct{ centre, service int }
	sets := map[place][]endpoint.Endpoint{}
	var order []place
	for i := range s.endpoints {
		p := place{centre: i / s.services % centres, service: i % s.services}
		if sets[p] == nil {
			order = append(order, p)
		}
		sets[p] = append(sets[p], endpoint.New(endpoint.Fields{
			Address: fmt.Sprintf("10.%d.%d.%d:7400", p.centre, i/250, i%250), Service: name(p.service), Version: fmt.Sprintf("1.0.%d", version),
			DataCentre: centre(p.centre), Region: fmt.Sprint("region-", p.centre/2), Slots: 12, State: endpoint.Ready,
			Incarnation: 1, Joined: time.Unix(0, 0),
		}))
	}
	gs := make([]group.Group, 0, len(order))
	for _, p := range order {
		gs = append(gs, group.New(centre(p.centre), name(p.service), 1, sequence, sets[p]))
	}
	return gs
}

func centre(i int) string { return fmt.Sprint("centre-", i) }
