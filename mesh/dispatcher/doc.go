// Package dispatcher is the part that runs calls on the local upstream and watches it.
package dispatcher
