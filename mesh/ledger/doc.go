// Package ledger is what one node remembers of the idempotency keys that it owns.
package ledger
