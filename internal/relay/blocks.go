package relay

import (
	"bytes"
	"io"
)

const (
	// minBlockBytes is the size of the first block of a body without a declared length.
	minBlockBytes = 4 << 10
	// maxBlockBytes also bounds what is allocated for a declared length before its bytes arrive.
	maxBlockBytes = 64 << 10
)

// blockBuffer holds a body in blocks. Unlike one growing slice it never copies what it holds, so that it takes at most
// one block more than the body.
type blockBuffer struct {
	blocks [][]byte
	length int
}

// next returns how many bytes the next read will allocate. declared is the length of the whole body, negative if it
// is unknown.
func (b *blockBuffer) next(declared int64) int {
	if last := len(b.blocks) - 1; last >= 0 {
		if len(b.blocks[last]) < cap(b.blocks[last]) {
			return 0
		}
		if declared < 0 {
			return min(2*cap(b.blocks[last]), maxBlockBytes)
		}
	}
	if declared < 0 {
		return minBlockBytes
	}
	// One byte more lets the read that follows the last byte find the end.
	return int(max(1, min(declared-int64(b.length)+1, maxBlockBytes)))
}

// readFrom makes one read of r. size is the result of next.
func (b *blockBuffer) readFrom(r io.Reader, size int) (int, error) {
	if size > 0 {
		b.blocks = append(b.blocks, make([]byte, 0, size))
	}
	block := &b.blocks[len(b.blocks)-1]
	n, err := r.Read((*block)[len(*block):cap(*block)])
	*block = (*block)[:len(*block)+n]
	b.length += n
	return n, err
}

// bytes returns the body in one slice, which is a copy if the body has several blocks.
func (b *blockBuffer) bytes() []byte {
	if len(b.blocks) == 1 {
		return b.blocks[0]
	}
	return bytes.Join(b.blocks, nil)
}
