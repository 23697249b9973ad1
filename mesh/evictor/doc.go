// Package evictor decides which callers' connections are closed when memory or descriptors run short.
//
// Callers that read their answers as fast as their link allows are spared: a reader is judged by what it has read since its
// answer began, not by the size of the answer.
package evictor
