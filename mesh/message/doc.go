// Package message holds the typed message that nodes exchange; its encoding is elsewhere.
package message
