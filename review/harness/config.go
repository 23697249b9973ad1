package main

// route is a route of a configuration.
type route struct {
	prefix   string
	kind     string // safe or unsafe
	service  string
	timeout  string // empty for 1200ms
	attempts int    // 0 for 2
}

// configuration returns the spec of config/main.
func configuration(version int, services []string, routes ...route) map[string]any {
	var listed []map[string]any
	for _, s := range services {
		listed = append(listed, map[string]any{"name": s, "healthPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": false})
	}
	var paths []map[string]any
	for _, r := range routes {
		if r.timeout == "" {
			r.timeout = "1200ms"
		}
		if r.attempts == 0 {
			r.attempts = 2
		}
		paths = append(paths, map[string]any{
			"name": "r-" + r.prefix, "pathPrefix": r.prefix, "routeType": r.kind, "timeout": r.timeout, "targetLatency": "800ms",
			"priority": 1, "maxAttempts": r.attempts, "service": r.service,
		})
	}
	return map[string]any{
		"version": version, "services": listed,
		"limits":       map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"virtualHosts": []any{map[string]any{"host": host, "paths": paths}},
	}
}
