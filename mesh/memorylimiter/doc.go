// Package memorylimiter is the part that fits the process into the memory of its host.
package memorylimiter
