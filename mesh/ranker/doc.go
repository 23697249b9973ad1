// Package ranker chooses the owners of idempotency keys by rendezvous hashing.
package ranker
