// Package retrier decides whether a call is attempted again.
package retrier
