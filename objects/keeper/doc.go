// Package keeper stores the objects in memory, with revisions, a bounded history of changes and watches.
package keeper
