// Package linker is the part that links nodes over WebSocket and transfers their messages and calls as CBOR frames.
package linker
