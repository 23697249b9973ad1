// Package view holds the immutable state that one call reads from its start to its end.
package view
