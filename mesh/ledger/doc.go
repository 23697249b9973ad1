// Package ledger records the idempotency keys that one node owns.
package ledger
