// Package encoder turns messages into CBOR and back by the types that packages register for each kind.
package encoder
