// Package linker is the part that links nodes over WebSocket and carries their messages and calls as CBOR frames.
package linker
