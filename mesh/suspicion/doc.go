// Package suspicion defines the message form of what a node knows about a request that has crashed upstreams.
package suspicion
