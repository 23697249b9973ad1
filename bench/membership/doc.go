// Package membership measures the latency and the traffic of distributing endpoint groups to the nodes.
package membership
