// Package bodyreader reads HTTP bodies of callers and upstreams into bounded memory.
package bodyreader
