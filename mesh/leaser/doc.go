// Package leaser decides when a lease in the store may be claimed and builds the writes that change it.
package leaser
