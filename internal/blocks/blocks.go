// Package blocks holds bodies of unknown length in memory without copying them while they grow.
package blocks

import (
	"bytes"
	"io"
	"sync"
)

const (
	// minBytes is the size of the first block of a body without a declared length.
	minBytes = 4 << 10
	// MaxBytes is the size of the largest block. It also bounds what is allocated for a declared length before its
	// bytes arrive.
	MaxBytes = 64 << 10
)

// Buffer holds a body in blocks. Unlike one growing slice it never copies what it holds, so that it takes at most
// one block more than the body.
type Buffer struct {
	blocks    [][]byte
	length    int
	allocated int
}

// Len returns the number of bytes in the buffer.
func (b *Buffer) Len() int { return b.length }

// Blocks returns the blocks in order.
func (b *Buffer) Blocks() [][]byte { return b.blocks }

// Allocated returns the size of all blocks.
func (b *Buffer) Allocated() int { return b.allocated }

// Next returns how many bytes the next read will allocate. declared is the length of the whole body, negative if it
// is unknown.
func (b *Buffer) Next(declared int64) int {
	if last := len(b.blocks) - 1; last >= 0 {
		if len(b.blocks[last]) < cap(b.blocks[last]) {
			return 0
		}
		if declared < 0 {
			return min(2*cap(b.blocks[last]), MaxBytes)
		}
	}
	if declared < 0 {
		return minBytes
	}
	// One byte more lets the read that follows the last byte find the end.
	return int(max(1, min(declared-int64(b.length)+1, MaxBytes)))
}

// ReadSome makes one read of r. size is the result of Next.
func (b *Buffer) ReadSome(r io.Reader, size int) (int, error) {
	if size > 0 {
		b.blocks = append(b.blocks, newBlock(size))
		b.allocated += size
	}
	block := &b.blocks[len(b.blocks)-1]
	n, err := r.Read((*block)[len(*block):cap(*block)])
	*block = (*block)[:len(*block)+n]
	b.length += n
	return n, err
}

// Bytes returns the body in one slice, which is a copy if the body has several blocks.
func (b *Buffer) Bytes() []byte {
	if b.IsOneBlock() {
		return b.blocks[0]
	}
	return bytes.Join(b.blocks, nil)
}

// IsOneBlock reports whether Bytes returns the body without a copy.
func (b *Buffer) IsOneBlock() bool { return len(b.blocks) == 1 }

// free holds blocks of MaxBytes that are not in use, so that bodies that come and go leave little to the garbage
// collector.
var free = sync.Pool{New: func() any { return new([MaxBytes]byte) }}

func newBlock(size int) []byte {
	if size == MaxBytes {
		return free.Get().(*[MaxBytes]byte)[:0]
	}
	return make([]byte, 0, size)
}

// Release makes the blocks available to other buffers. Neither the buffer nor a slice of its only block may be used
// afterwards.
func (b *Buffer) Release() {
	for _, block := range b.blocks {
		if cap(block) == MaxBytes {
			free.Put((*[MaxBytes]byte)(block[:MaxBytes]))
		}
	}
	*b = Buffer{}
}
