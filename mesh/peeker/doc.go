// Package peeker reads the structure of CBOR data of which only the beginning may be there, without decoding it.
package peeker
