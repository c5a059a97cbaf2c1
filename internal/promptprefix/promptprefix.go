// Package promptprefix hashes the prompt of a completion request block by block, so that
// requests with a common prefix have the same leading hashes.
package promptprefix

import (
	"encoding/binary"
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the length of a block in bytes. Engines cache blocks of 16 to 256
	// tokens; the longest of these keeps the number of lookups per request small.
	BlockBytes = 1024
	// BytesPerToken is the typical length of a token of English text.
	BytesPerToken = 4
	// BlockTokens is the length of a block in tokens.
	BlockTokens = BlockBytes / BytesPerToken
	// MaxBlocks limits the hashes of one request to its first 32,768 tokens.
	MaxBlocks = 128
)

// Prompt describes the content of a request for routing.
type Prompt struct {
	// Hashes has one hash for each complete block, which also covers all blocks before it.
	Hashes []uint64
	// Tokens is the estimated length of the prompt.
	Tokens int
}

// HashContent hashes the content of a request, which is the JSON of its messages or prompt
// field. Prompts of different targets have no hashes in common.
func HashContent(target string, content []byte) Prompt {
	p := Prompt{Tokens: len(content)/BytesPerToken + 1}
	blocks := min(len(content)/BlockBytes, MaxBlocks)
	if blocks == 0 {
		return p
	}
	p.Hashes = make([]uint64, blocks)
	hash := xxhash.Sum64String(target)
	var digest xxhash.Digest
	var previous [8]byte
	for i := range blocks {
		binary.LittleEndian.PutUint64(previous[:], hash)
		digest.Reset()
		_, _ = digest.Write(previous[:])
		_, _ = digest.Write(content[i*BlockBytes : (i+1)*BlockBytes])
		hash = digest.Sum64()
		p.Hashes[i] = hash
	}
	return p
}

// ContentField returns the field that holds the content of a completion request.
func ContentField(path string) string {
	if strings.HasSuffix(path, "/chat/completions") {
		return "messages"
	}
	return "prompt"
}

// HashBody hashes the content of a complete request body. A body without content has no
// hashes.
func HashBody(target, path string, body []byte) Prompt {
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil {
		return Prompt{}
	}
	return HashContent(target, fields[ContentField(path)])
}
