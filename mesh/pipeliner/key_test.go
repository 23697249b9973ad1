package pipeliner

import (
	"strings"
	"testing"
)

// TestKeysNotShown guards against a caller's key in the reason of a refusal, which is logged: a header without its colon, and
// heads whose lines have got out of order.
func TestKeysNotShown(t *testing.T) {
	for _, head := range []string{
		"GET /a HTTP/1.1\r\nHost: h\r\nAuthorization Bearer secret-key\r\n\r\n",
		"GET /a HTTP/1.1\r\nAuthorization : Bearer secret-key\r\nHost: h\r\n\r\n",
		"GET /a HTTP/1.1\r\n Bearer secret-key\r\nHost: h\r\n\r\n",
		"Authorization: Bearer secret-key\r\nHost: h\r\n\r\n",
		"secret-key\r\n\r\n",
		"secret-key /a HTTP/1.1 x\r\n\r\n",
		"Bearer,secret-key /a HTTP/1.1\r\n\r\n",
		"GET secret-key%zz HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET http://secret-key:/ HTTP/1.1\r\nHost: secret-key/\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: secret-key\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: secret-key\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret-key\x00\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret-key\r\nsecret-key\r\n\r\n",
	} {
		if _, err := parseHead([]byte(head)); err != nil && strings.Contains(err.Error(), "secret-key") {
			t.Errorf("%q: %v", head, err)
		}
	}
}
