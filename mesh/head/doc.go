// Package head holds the one object that says which configuration is in force.
package head
