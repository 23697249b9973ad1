// Package gauge measures one endpoint from this node's point of view. The values are atomics, as every call reads and
// writes them.
package gauge
