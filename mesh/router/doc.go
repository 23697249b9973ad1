// Package router finds the route and the service of a call.
package router
