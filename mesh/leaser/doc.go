// Package leaser decides when a lease in the store is claimed, renewed and given up.
package leaser
