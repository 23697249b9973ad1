// Package preset holds a named manifest of service definitions, as checked and as stored.
package preset
