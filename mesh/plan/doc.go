// Package plan holds a complete configuration as nodes use it, with rules indexed by host and path.
package plan
