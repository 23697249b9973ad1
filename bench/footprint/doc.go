// Package footprint measures what a node's data path costs by the number of services and endpoints that it knows.
package footprint
