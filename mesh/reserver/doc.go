// Package reserver is the part that lets a call with an idempotency key run at most once.
package reserver
