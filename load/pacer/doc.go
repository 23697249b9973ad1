// Package pacer decides when each call starts, whatever the calls before it do.
package pacer
