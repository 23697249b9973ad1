// Package prober looks at a TCP connection without reading from it.
package prober
