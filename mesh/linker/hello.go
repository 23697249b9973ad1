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

// purpose is the use of a connection; each connection has only one, so that large bodies do not delay control messages.
type purpose uint8

const (
	control purpose = 1 + iota // messages, in both directions
	calls                      // calls from the dialer to the acceptor
	bodies                     // calls with large bodies from the dialer to the acceptor
)

// String returns the name of the purpose for log lines.
func (p purpose) String() string {
	if p > purposeCount {
		return "unknown"
	}
	return [...]string{"unknown", "control", "calls", "bodies"}[p]
}

// purposeCount is the number of purposes.
const purposeCount = 3

// carriesCalls reports whether connections of the purpose carry calls from the dialer to the acceptor.
func (p purpose) carriesCalls() bool { return p == calls || p == bodies }

const (
	// handshakeTimeout bounds how long an unauthenticated connection can use resources.
	handshakeTimeout = 5 * time.Second
	// maxHelloBytes bounds frames of peers that have not proved yet that they have the token.
	maxHelloBytes = 4 << 10
	nonceSize     = 16
)

// hello is the first message of one side of a link.
type hello struct {
	Node       string  `cbor:"1,keyasint"` // address that peers dial
	Region     string  `cbor:"2,keyasint"`
	Purpose    purpose `cbor:"3,keyasint"`
	Nonce      []byte  `cbor:"4,keyasint"`
	Generation uint64  `cbor:"5,keyasint,omitempty"` // chosen by the acceptor
	Proof      []byte  `cbor:"6,keyasint,omitempty"` // of the acceptor
}

// transcript is the input of a proof; it contains the role, so that one side's proof cannot be replayed as the other's.
type transcript struct {
	_        struct{} `cbor:",toarray"`
	Role     string
	Dialer   hello
	Acceptor hello
}

// proof returns the HMAC-SHA256 of both hellos with the token as key; the token itself is never sent.
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

// newGeneration returns a random number other than zero, so that generations differ across restarts of a peer.
func newGeneration() uint64 {
	var b [8]byte
	for {
		rand.Read(b[:])
		if g := binary.BigEndian.Uint64(b[:]); g != 0 {
			return g
		}
	}
}

func wrongToken() error {
	return fault.New(fault.Denied, "the peer has another link token", "set the same --link-token on both nodes")
}

// dialHandshake performs the dialer's side of the handshake and returns the acceptor's hello.
func dialHandshake(c *websocket.Conn, token string, local hello) (hello, error) {
	if err := sendHandshake(c, typeHello, 0, local); err != nil {
		return hello{}, err
	}
	var remote hello
	if err := receiveHandshake(c, typeHello, 0, &remote); err != nil {
		return hello{}, err
	}
	if remote.Generation == 0 || remote.Purpose != local.Purpose || len(remote.Nonce) != nonceSize {
		return hello{}, malformed("incomplete hello")
	}
	if !hmac.Equal(remote.Proof, proof(token, "acceptor", local, remote)) {
		return hello{}, wrongToken()
	}
	return remote, sendHandshake(c, typeProof, remote.Generation, proof(token, "dialer", local, remote))
}

// acceptHandshake performs the acceptor's side of the handshake. It returns the dialer's hello, the new link's
// generation, and when its own hello was sent: the dialer's clock of the link starts when it has received that.
func acceptHandshake(c *websocket.Conn, token, node, region string) (remote hello, generation uint64, helloSentAt time.Time, err error) {
	if err := receiveHandshake(c, typeHello, 0, &remote); err != nil {
		return hello{}, 0, helloSentAt, err
	}
	if len(remote.Nonce) != nonceSize || remote.Node == "" || (remote.Purpose != control && !remote.Purpose.carriesCalls()) {
		return hello{}, 0, helloSentAt, malformed("incomplete hello")
	}
	local := newHello(node, region, remote.Purpose)
	local.Generation = newGeneration()
	local.Proof = proof(token, "acceptor", remote, local)
	helloSentAt = time.Now()
	if err := sendHandshake(c, typeHello, 0, local); err != nil {
		return hello{}, 0, helloSentAt, err
	}
	var got []byte
	if err := receiveHandshake(c, typeProof, local.Generation, &got); err != nil {
		return hello{}, 0, helloSentAt, err
	}
	if !hmac.Equal(got, proof(token, "dialer", remote, local)) {
		return hello{}, 0, helloSentAt, wrongToken()
	}
	return remote, local.Generation, helloSentAt, nil
}

func sendHandshake(c *websocket.Conn, t frameType, generation uint64, body any) error {
	data, err := encodeFrame(t, generation, 0, must(encMode.Marshal(body)))
	if err != nil {
		return err
	}
	c.SetWriteDeadline(time.Now().Add(handshakeTimeout))
	return c.WriteMessage(websocket.BinaryMessage, data)
}

func receiveHandshake(c *websocket.Conn, t frameType, generation uint64, body any) error {
	c.SetReadDeadline(time.Now().Add(handshakeTimeout))
	data, err := readMessage(c, maxHelloBytes, func() {}, new(bytes.Buffer), nil)
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
