package reserver

import (
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/arbiter"
	"wisteriaspoke.example/mesh/call"
)

// fullKey keeps the keys of different services and tenants apart.
func fullKey(c call.Call) string {
	return c.Service() + "\x00" + c.Tenant() + "\x00" + c.IdempotencyKey()
}

// fingerprint tells requests under one key apart. It leaves out the HTTP host, which differs between nodes that a caller
// addresses by IP; the route's service and tenant are part of the full key.
func fingerprint(c call.Call) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{c.Method(), c.Path()} {
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(c.Body())
	return d.Sum64()
}

// createdAt returns when the key was made: from a UUIDv7, as the caller says, or else as long ago as records are held; known
// is false for the last.
func createdAt(c call.Call, now time.Time) (created time.Time, known bool) {
	if created, known = uuidTime(c.IdempotencyKey()); known {
		return created, true
	}
	if c.KeyCreated() > 0 {
		return time.UnixMilli(c.KeyCreated()), true
	}
	return now.Add(-holdTime), false
}

// checkAge returns the refusal for a key whose age the owners' memory cannot prove anything about, or false.
func checkAge(created, now time.Time) (answer.Answer, bool) {
	// A time too far ahead would make a lost record look like proof.
	if created.After(now.Add(arbiter.Margin)) {
		return refuse(400, answer.No, "clock"), true
	}
	// Owners forget a record after the hold time, so that "never seen" proves nothing of an older key.
	if created.Before(now.Add(arbiter.Margin - holdTime)) {
		return refuse(409, answer.Maybe, "expired"), true
	}
	return answer.Answer{}, false
}

// uuidTime returns the time in a UUID of version 7, as RFC 9562 lays it out.
func uuidTime(key string) (time.Time, bool) {
	if len(key) != 36 || key[8] != '-' || key[13] != '-' || key[14] != '7' || key[18] != '-' || key[23] != '-' {
		return time.Time{}, false
	}
	var raw [8]byte
	if _, err := hex.Decode(raw[2:8], []byte(key[:8]+key[9:13])); err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(int64(binary.BigEndian.Uint64(raw[:]))), true
}
