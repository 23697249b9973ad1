package guard

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"wisteriaspoke.example/mesh/call"
)

// printSize is the length of a fingerprint in characters.
const printSize = 32

// Print returns the fingerprint of a call: of its key if it has one, or else of its method, host, path and body.
//
// It is cryptographic, so that nobody can build a crashing call with the fingerprint of another caller's call.
func Print(c call.Call) string {
	h := sha256.New()
	write := func(s string) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	if c.Key() != "" {
		write("key")
		write(c.Service())
		write(c.Tenant())
		write(c.Key())
		return hex.EncodeToString(h.Sum(nil)[:printSize/2])
	}
	write("call")
	write(c.Method())
	write(c.Host())
	write(c.Path())
	h.Write(c.Body())
	return hex.EncodeToString(h.Sum(nil)[:printSize/2])
}
