// Package footprint measures the memory and processor time of a node's data path by the number of services and
// endpoints.
package footprint
