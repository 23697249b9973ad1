// Package moves is the commands on moves of a service to a new version.
package moves
