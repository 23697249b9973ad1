package peeker

import "encoding/binary"

// Major types of CBOR items.
const (
	Unsigned = 0
	Bytes    = 2
	text     = 3
	Array    = 4
	Map      = 5
	simple   = 7
)

// maxDepth bounds the nesting of items that are skipped.
const maxDepth = 8

// Peeker is a position in CBOR data.
type Peeker struct {
	data []byte
	pos  int
}

// New returns a Peeker at the beginning of the data.
func New(data []byte) *Peeker { return &Peeker{data: data} }

// Position returns the number of bytes that were read.
func (p *Peeker) Position() int { return p.pos }

// Head reads the head of an item: its major type and its value, length or number of elements. It returns false if the head
// is incomplete or has an indefinite length.
func (p *Peeker) Head() (major int, argument uint64, ok bool) {
	if p.pos >= len(p.data) {
		return 0, 0, false
	}
	first := p.data[p.pos]
	major, argument = int(first>>5), uint64(first&0x1f)
	rest := p.data[p.pos+1:]
	size := 0
	switch argument {
	case 24:
		size = 1
	case 25:
		size = 2
	case 26:
		size = 4
	case 27:
		size = 8
	case 28, 29, 30, 31:
		return 0, 0, false
	}
	if len(rest) < size {
		return 0, 0, false
	}
	switch size {
	case 1:
		argument = uint64(rest[0])
	case 2:
		argument = uint64(binary.BigEndian.Uint16(rest))
	case 4:
		argument = uint64(binary.BigEndian.Uint32(rest))
	case 8:
		argument = binary.BigEndian.Uint64(rest)
	}
	p.pos += 1 + size
	return major, argument, true
}

// Skip reads a whole item, or returns false if it is incomplete, a tag, nested deeply or of an indefinite length.
func (p *Peeker) Skip() bool { return p.skip(maxDepth) }

func (p *Peeker) skip(depth int) bool {
	major, n, ok := p.Head()
	if !ok || depth == 0 {
		return false
	}
	switch major {
	case Bytes, text:
		if n > uint64(len(p.data)-p.pos) {
			return false
		}
		p.pos += int(n)
	case Map, Array:
		if n > uint64(len(p.data)) {
			return false
		}
		if major == Map {
			n *= 2
		}
		for range n {
			if !p.skip(depth - 1) {
				return false
			}
		}
	case Unsigned, 1, simple:
	default:
		return false
	}
	return true
}
