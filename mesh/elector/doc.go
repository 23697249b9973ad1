// Package elector decides which nodes do work that only some need to do. Two nodes with different views may both do it
// for a moment; the store's conditional writes keep that from doing harm.
package elector
