// Package kernel starts, drains and stops the parts of a program, which register themselves on import.
package kernel
