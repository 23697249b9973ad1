// Package presets is the commands on presets.
package presets
