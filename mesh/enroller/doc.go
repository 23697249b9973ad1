// Package enroller tracks the local upstream by its announcements: which process is the current one, whether it takes
// calls, and how many at a time.
package enroller
