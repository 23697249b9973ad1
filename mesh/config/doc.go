// Package config holds the configuration that one node has in force.
package config
