// Package keeper holds the objects of the stand-in store: versions, a bounded history and watches.
package keeper
