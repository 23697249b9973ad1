// Package record holds one object of the store as nodes pass it on.
package record
