// Package target combines an endpoint with the measurements that this node takes of it.
package target
