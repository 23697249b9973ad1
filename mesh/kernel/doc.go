// Package kernel starts, drains and stops the parts of a program and knows none of them by name.
package kernel
