// Package message defines the typed message that nodes exchange; package encoder encodes and decodes it.
package message
