// Package moves implements the commands that start, show, watch and take back moves of services to new versions.
package moves
