// Package identity is the part with the settings that say which node this is.
package identity
