// Package call defines a call as it is sent between nodes and to upstreams.
package call
