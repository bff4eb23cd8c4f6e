// Package prefix tracks which prompt prefixes an engine likely holds in its cache.
//
// A prompt is split into blocks of BlockBytes. Each block gets a hash of the prompt up to its end,
// so that two prompts share hashes exactly as far as they share their beginning. Index is a bounded
// LRU set of the hashes for one engine. Its contents are hints: engines evict on their own and
// report it late.
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
	// maxBlocks bounds the number of hashes of one prompt, since a prompt may be a hundred times as
	// long as usual.
	maxBlocks = 1024
)

// Hashes returns one prefix hash for each whole block of the prompt.
func Hashes(prompt []byte) []uint64 {
	n := min(len(prompt)/BlockBytes, maxBlocks)
	hashes := make([]uint64, 0, n)
	d := xxhash.New()
	for i := range n {
		_, _ = d.Write(prompt[i*BlockBytes : (i+1)*BlockBytes])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// Segment is a part of a prompt that other prompts may also begin with. Callers send segments with
// hashes instead of the text.
type Segment struct {
	// ID identifies the segment's text, whatever stands before it.
	ID uint64
	// Hash identifies the segment's text and all text before it.
	Hash uint64
	// Tokens is the length of the segment.
	Tokens int
}

// SegmentHashes returns one prefix hash for each whole block of a prompt given by its segments, in
// order.
func SegmentHashes(segments []Segment) []uint64 {
	var hashes []uint64
	tokens := 0
	for _, s := range segments {
		tokens += s.Tokens
		for len(hashes) < tokens/BlockTokens {
			hashes = append(hashes, s.Hash+uint64(len(hashes)))
		}
	}
	return hashes
}

// Index is the set of blocks that one engine likely holds. It is not safe for concurrent use.
type Index struct {
	blocks *simplelru.LRU[uint64, struct{}]
}

// NewIndex returns an Index of at most the given number of blocks.
func NewIndex(blocks int) *Index { return NewIndexOnEvict(blocks, nil) }

// NewIndexOnEvict returns an Index that calls evicted for each block that leaves it, including by
// Drop and Clear. The fake engines publish their cache events from it.
func NewIndexOnEvict(blocks int, evicted func(block uint64)) *Index {
	var onEvict simplelru.EvictCallback[uint64, struct{}]
	if evicted != nil {
		onEvict = func(block uint64, _ struct{}) { evicted(block) }
	}
	lru, err := simplelru.NewLRU(max(blocks, 1), onEvict)
	if err != nil {
		panic("prefix: a positive size always makes a cache: " + err.Error())
	}
	return &Index{blocks: lru}
}

// Cached returns the number of leading blocks that the engine likely holds.
func (x *Index) Cached(hashes []uint64) int {
	low, high := 0, len(hashes)
	for low < high {
		mid := (low + high + 1) / 2
		if x.blocks.Contains(hashes[mid-1]) {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return low
}

// Add records that the engine has prefilled the prompt. The beginning of the prompt becomes the
// most recently used, since engines also evict the ends of prompts first.
func (x *Index) Add(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		x.blocks.Add(hashes[i], struct{}{})
	}
}

// Drop records that the engine has evicted the blocks.
func (x *Index) Drop(blocks []uint64) {
	for _, b := range blocks {
		x.blocks.Remove(b)
	}
}

// Clear removes all blocks, after a restart of the engine.
func (x *Index) Clear() { x.blocks.Purge() }
