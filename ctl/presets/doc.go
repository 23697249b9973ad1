// Package presets implements the commands that store, compare and use presets.
package presets
