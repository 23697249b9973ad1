package guard

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net"
	"net/netip"
	"strings"

	"wisteriaspoke.example/mesh/call"
)

// printSize is the length of a fingerprint in characters.
const printSize = 32

// Fingerprint returns the fingerprint of a call: of its key if it has one, or else of its service, method, host, path and body.
//
// It is cryptographic, so that nobody can build a crashing call with the fingerprint of another caller's call.
func Fingerprint(c call.Call) string {
	h := sha256.New()
	write := func(s string) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	if c.IdempotencyKey() != "" {
		write("key")
		write(c.Service())
		write(c.Tenant())
		write(c.IdempotencyKey())
		return hex.EncodeToString(h.Sum(nil)[:printSize/2])
	}
	write("call")
	write(c.Service())
	write(c.Method())
	write(site(c.Host()))
	write(c.Path())
	h.Write(c.Body())
	return hex.EncodeToString(h.Sum(nil)[:printSize/2])
}

// site returns the host's name in lower case, without the port, and the empty string for an IP address. A caller that
// addresses nodes directly sends another host through each node, which must not make it another call.
func site(host string) string {
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		name = strings.Trim(host, "[]")
	}
	if _, err := netip.ParseAddr(name); err == nil {
		return ""
	}
	return strings.ToLower(name)
}
