// Package projector estimates the present load of endpoints from load reports that may be too old to be taken as they are.
package projector
