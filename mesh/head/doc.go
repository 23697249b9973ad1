// Package head holds the stored object that names the configuration in force.
package head
