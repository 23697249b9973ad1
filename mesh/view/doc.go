// Package view holds the immutable routing state that a call reads from its start to its end.
package view
