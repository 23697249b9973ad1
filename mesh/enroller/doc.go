// Package enroller keeps what the local upstream says of itself: which start of it is the current one, whether it takes
// calls, and what it can carry.
package enroller
