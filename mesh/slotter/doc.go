// Package slotter limits the number of calls that an upstream runs at once. The most urgent waiting call gets the next
// slot, and a call whose expected wait is too long is refused at once.
package slotter
