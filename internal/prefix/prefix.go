// Package prefix remembers which prompt prefixes an engine has likely in its
// cache.
//
// A prompt is cut into blocks of BlockBytes; Chain sums each block together with
// all before it, so that two prompts share sums exactly as far as they share
// their beginning. Memory is a bounded, least-recently-used set of sums for one
// engine. It holds hints: engines evict on their own and tell it late.
package prefix

import (
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// BlockBytes is the size of a block of prompt text.
	BlockBytes = 256
	// BytesPerToken is the assumed mean length of a token's text.
	BytesPerToken = 4
	// BlockTokens is the size of a block in tokens.
	BlockTokens = BlockBytes / BytesPerToken
	// maxBlocks bounds a chain, for the hundredfold prompt.
	maxBlocks = 1024
)

// Hashes returns one sum for each whole block of the prompt.
func Hashes(prompt []byte) []uint64 {
	n := min(len(prompt)/BlockBytes, maxBlocks)
	sums := make([]uint64, 0, n)
	d := xxhash.New()
	for i := range n {
		_, _ = d.Write(prompt[i*BlockBytes : (i+1)*BlockBytes])
		sums = append(sums, d.Sum64())
	}
	return sums
}

// Segment is a piece of a prompt that other prompts may begin with too, where a caller gives
// sums in place of the text.
type Segment struct {
	// Hash names its text and all before it.
	Hash uint64
	// Tokens is its length.
	Tokens int
}

// SegmentHashes returns one sum for each whole block of a prompt that is given by its parts, in order.
func SegmentHashes(parts []Segment) []uint64 {
	var out []uint64
	tokens := 0
	for _, p := range parts {
		tokens += p.Tokens
		for len(out) < tokens/BlockTokens {
			out = append(out, p.Hash+uint64(len(out)))
		}
	}
	return out
}

// Index is what one engine likely holds. Not safe for concurrent use.
type Index struct {
	blocks *simplelru.LRU[uint64, struct{}]
}

// NewIndex returns a memory of at most so many blocks.
func NewIndex(blocks int) *Index { return NewIndexOnEvict(blocks, nil) }

// NewIndexOnEvict returns a memory that calls dropped for each block that it
// gives up; the stand-in engines publish their cache events from it.
func NewIndexOnEvict(blocks int, dropped func(block uint64)) *Index {
	var onDrop simplelru.EvictCallback[uint64, struct{}]
	if dropped != nil {
		onDrop = func(block uint64, _ struct{}) { dropped(block) }
	}
	lru, err := simplelru.NewLRU(max(blocks, 1), onDrop)
	if err != nil {
		panic("prefix: a positive size always makes a cache: " + err.Error())
	}
	return &Index{blocks: lru}
}

// Cached returns how many leading blocks of the chain the engine likely holds.
func (m *Index) Cached(chain []uint64) int {
	low, high := 0, len(chain)
	for low < high {
		mid := (low + high + 1) / 2
		if m.blocks.Contains(chain[mid-1]) {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return low
}

// Add records that the engine has read the prompt of the chain. The beginning
// is made the most recent, since engines too evict the ends of prompts first.
func (m *Index) Add(chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		m.blocks.Add(chain[i], struct{}{})
	}
}

// Drop records that the engine has evicted the blocks.
func (m *Index) Drop(blocks []uint64) {
	for _, b := range blocks {
		m.blocks.Remove(b)
	}
}

// Clear forgets all, after the engine's restart.
func (m *Index) Clear() { m.blocks.Purge() }
