// Package config defines the configuration that is in force on one node.
package config
