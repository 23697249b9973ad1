package linker

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/fasthttp/websocket"

	"wisteriaspoke.example/mesh/fault"
)

// purpose separates connections, so that large bodies of calls do not delay control messages.
type purpose uint8

const (
	control purpose = 1 + iota // messages, both ways
	calls                      // calls from the dialer to the acceptor
	bodies                     // calls with large bodies from the dialer to the acceptor
)

// purposes is the number of purposes.
const purposes = 3

// carriesCalls reports whether connections of the purpose carry calls from the dialer to the acceptor.
func (p purpose) carriesCalls() bool { return p == calls || p == bodies }

const (
	// handshakeTimeout bounds how long an unauthenticated connection can hold resources.
	handshakeTimeout = 5 * time.Second
	// helloLimit bounds frames of peers that have not proven the token.
	helloLimit = 4 << 10
	nonceSize  = 16
)

// hello introduces one side of a link.
type hello struct {
	Node       string  `cbor:"1,keyasint"` // address that peers dial
	Region     string  `cbor:"2,keyasint"`
	Purpose    purpose `cbor:"3,keyasint"`
	Nonce      []byte  `cbor:"4,keyasint"`
	Generation uint64  `cbor:"5,keyasint,omitempty"` // drawn by the acceptor
	Proof      []byte  `cbor:"6,keyasint,omitempty"` // of the acceptor
}

// transcript is what a proof covers; Role keeps one side's proof from being sent back as the other's.
type transcript struct {
	_        struct{} `cbor:",toarray"`
	Role     string
	Dialer   hello
	Acceptor hello
}

// proof returns the HMAC-SHA256 of both hellos under the token; the token itself never travels.
func proof(token, role string, dialer, acceptor hello) []byte {
	acceptor.Proof = nil
	mac := hmac.New(sha256.New, []byte(token))
	mac.Write(must(encMode.Marshal(transcript{Role: role, Dialer: dialer, Acceptor: acceptor})))
	return mac.Sum(nil)
}

func newHello(node, region string, p purpose) hello {
	nonce := make([]byte, nonceSize)
	rand.Read(nonce)
	return hello{Node: node, Region: region, Purpose: p, Nonce: nonce}
}

// newGeneration returns a random number other than zero, so that a restarted peer does not repeat one.
func newGeneration() uint64 {
	var b [8]byte
	for {
		rand.Read(b[:])
		if g := binary.BigEndian.Uint64(b[:]); g != 0 {
			return g
		}
	}
}

func denied() error {
	return fault.New(fault.Denied, "the peer does not know the link token", "set the same --link-token on both nodes")
}

// introduce does the dialer's part of the handshake and returns the acceptor's hello.
func introduce(c *websocket.Conn, token string, own hello) (hello, error) {
	if err := sendBody(c, typeHello, 0, own); err != nil {
		return hello{}, err
	}
	var other hello
	if err := receiveBody(c, typeHello, 0, &other); err != nil {
		return hello{}, err
	}
	if other.Generation == 0 || other.Purpose != own.Purpose || len(other.Nonce) != nonceSize {
		return hello{}, malformed("incomplete hello")
	}
	if !hmac.Equal(other.Proof, proof(token, "acceptor", own, other)) {
		return hello{}, denied()
	}
	return other, sendBody(c, typeProof, other.Generation, proof(token, "dialer", own, other))
}

// receive does the acceptor's part of the handshake and returns the dialer's hello and the new link's generation.
func receive(c *websocket.Conn, token, node, region string) (hello, uint64, error) {
	var other hello
	if err := receiveBody(c, typeHello, 0, &other); err != nil {
		return hello{}, 0, err
	}
	if len(other.Nonce) != nonceSize || other.Node == "" || (other.Purpose != control && !other.Purpose.carriesCalls()) {
		return hello{}, 0, malformed("incomplete hello")
	}
	own := newHello(node, region, other.Purpose)
	own.Generation = newGeneration()
	own.Proof = proof(token, "acceptor", other, own)
	if err := sendBody(c, typeHello, 0, own); err != nil {
		return hello{}, 0, err
	}
	var got []byte
	if err := receiveBody(c, typeProof, own.Generation, &got); err != nil {
		return hello{}, 0, err
	}
	if !hmac.Equal(got, proof(token, "dialer", other, own)) {
		return hello{}, 0, denied()
	}
	return other, own.Generation, nil
}

func sendBody(c *websocket.Conn, t frameType, generation uint64, body any) error {
	data, err := encodeFrame(t, generation, 0, must(encMode.Marshal(body)))
	if err != nil {
		return err
	}
	c.SetWriteDeadline(time.Now().Add(handshakeTimeout))
	return c.WriteMessage(websocket.BinaryMessage, data)
}

func receiveBody(c *websocket.Conn, t frameType, generation uint64, body any) error {
	c.SetReadDeadline(time.Now().Add(handshakeTimeout))
	data, err := readMessage(c, helloLimit, func() {}, new(bytes.Buffer))
	if err != nil {
		return err
	}
	f, err := decodeFrame(data)
	if err != nil {
		return err
	}
	if f.Type != t || f.Generation != generation {
		return malformed("frame out of order in the handshake")
	}
	if err := decMode.Unmarshal(f.Body, body); err != nil {
		return fault.Wrap(fault.Invalid, err, "malformed handshake", "check that both nodes run compatible releases")
	}
	return nil
}
