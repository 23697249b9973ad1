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

// fingerprintLength is the length of a fingerprint in characters.
const fingerprintLength = 32

// Fingerprint returns the fingerprint of a call: a digest of its idempotency key, service and tenant or, without a key,
// of its service, method, host name, path and body.
//
// The digest is cryptographic, so that nobody can construct a crashing call with the fingerprint of another call.
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
		return hex.EncodeToString(h.Sum(nil)[:fingerprintLength/2])
	}
	write("call")
	write(c.Service())
	write(c.Method())
	write(hostName(c.Host()))
	write(c.Path())
	h.Write(c.Body())
	return hex.EncodeToString(h.Sum(nil)[:fingerprintLength/2])
}

// hostName returns host in lower case without its port, or the empty string for an IP address. A caller that addresses
// nodes by IP address sends a different host to each of them, which must not change the fingerprint.
func hostName(host string) string {
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		name = strings.Trim(host, "[]")
	}
	if _, err := netip.ParseAddr(name); err == nil {
		return ""
	}
	return strings.ToLower(name)
}
