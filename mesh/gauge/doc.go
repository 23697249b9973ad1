// Package gauge measures one endpoint as this node sees it; its values are atomics, as every call reads and writes them.
package gauge
