// Package preset holds a named set of service definitions, and its manifest in the store.
package preset
