// Package checker validates a whole preset file before it is accepted.
package checker
