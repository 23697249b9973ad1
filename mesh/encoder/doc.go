// Package encoder encodes messages as CBOR and decodes them into the types that packages register for each kind.
package encoder
