// Package bodyreader reads HTTP bodies of callers and upstreams into memory, up to a limit.
package bodyreader
