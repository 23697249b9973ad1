// Package identity is the part with the settings that identify this node and its upstream.
package identity
