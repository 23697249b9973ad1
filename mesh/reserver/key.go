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

// fullKey returns the key qualified by service and tenant, so that their keys are independent.
func fullKey(c call.Call) string {
	return c.Service() + "\x00" + c.Tenant() + "\x00" + c.IdempotencyKey()
}

// fingerprint distinguishes requests under one key. It excludes the HTTP host, which differs between nodes that a
// caller addresses by IP; service and tenant are part of the full key.
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

// createdAt returns the creation time of the key: from a UUIDv7, or as stated by the caller. Otherwise it returns the
// oldest time of which records are held, and known is false.
func createdAt(c call.Call, now time.Time) (created time.Time, known bool) {
	if created, known = uuidTime(c.IdempotencyKey()); known {
		return created, true
	}
	if c.KeyCreated() > 0 {
		return time.UnixMilli(c.KeyCreated()), true
	}
	return now.Add(-holdTime), false
}

// checkAge returns the refusal for a key that is too old or too far in the future for the owners' records to prove that
// it has not run, and whether it is refused.
func checkAge(created, now time.Time) (answer.Answer, bool) {
	// With a time too far in the future, a lost record would be mistaken for proof that the key has not run.
	if created.After(now.Add(arbiter.Margin)) {
		return refuse(400, answer.No, "clock"), true
	}
	// Owners remove a record after the hold time, so a missing record proves nothing about an older key.
	if created.Before(now.Add(arbiter.Margin - holdTime)) {
		return refuse(409, answer.Maybe, "expired"), true
	}
	return answer.Answer{}, false
}

// uuidTime returns the time in a UUID of version 7 as defined by RFC 9562.
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
