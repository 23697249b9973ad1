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

// routesPerService is the number of routes of each service.
const routesPerService = 5

// scale is the number of services and of their endpoints in total.
type scale struct {
	services  int
	endpoints int
}

// scales lists today's size, an intermediate size and the target's size.
var scales = []scale{{3, 18}, {48, 1000}, {480, 8600}}

// dataCentres is the number of data centres over which endpoints are distributed.
const dataCentres = 10

func serviceName(i int) string { return fmt.Sprintf("service-%03d", i) }

// configuration returns a complete configuration of the scale.
func configuration(s scale, version uint64) (config.Config, error) {
	services := make(map[string]service.Service, s.services)
	for i := range s.services {
		routes := ""
		for r := range routesPerService {
			if r > 0 {
				routes += ","
			}
			routes += fmt.Sprintf(`{"name":"route-%d","host":"%s.example","path":"/api/%d","methods":["GET","POST"],"class":"normal","timeout":3000}`, r, serviceName(i), r)
		}
		definition := fmt.Sprintf(`{"name":%q,"version":"1.0.%d","routes":[%s]}`, serviceName(i), version, routes)
		var v service.Service
		if err := json.Unmarshal([]byte(definition), &v); err != nil {
			return config.Config{}, err
		}
		services[serviceName(i)] = v
	}
	return config.New(version, "bench", services, nil), nil
}

// groups returns all endpoint groups of the scale; version is the configuration version of the endpoints.
func groups(s scale, version, sequence uint64) []group.Group {
	type groupKey struct{ dataCentre, service int }
	members := map[groupKey][]endpoint.Endpoint{}
	var keys []groupKey
	for i := range s.endpoints {
		p := groupKey{dataCentre: i / s.services % dataCentres, service: i % s.services}
		if members[p] == nil {
			keys = append(keys, p)
		}
		members[p] = append(members[p], endpoint.New(endpoint.Fields{
			Address: fmt.Sprintf("10.%d.%d.%d:7400", p.dataCentre, i/250, i%250), Service: serviceName(p.service), Version: fmt.Sprintf("1.0.%d", version),
			DataCentre: dataCentreName(p.dataCentre), Region: fmt.Sprint("region-", p.dataCentre/2), Slots: 12, State: endpoint.Ready,
			Incarnation: 1, Joined: time.Unix(0, 0),
		}))
	}
	gs := make([]group.Group, 0, len(keys))
	for _, p := range keys {
		gs = append(gs, group.New(dataCentreName(p.dataCentre), serviceName(p.service), 1, sequence, members[p]))
	}
	return gs
}

func dataCentreName(i int) string { return fmt.Sprint("centre-", i) }
