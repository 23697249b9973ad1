// Package endpoint defines an upstream as its node announces it to other nodes.
package endpoint
