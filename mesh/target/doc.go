// Package target joins an endpoint with what this node measures of it.
package target
