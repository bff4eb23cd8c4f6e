package transfer

import (
	"fmt"
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

// maxContentBytes bounds a decoded configuration. The store's limit for a value is 1 MiB.
const maxContentBytes = 8 << 20

// dictionaryID names the base in an encoding. It is always the same, since a base is identified by its
// digest.
const dictionaryID = 1

// Digest returns the digest of a configuration; it is 0 only for an empty one.
func Digest(content []byte) uint64 {
	if len(content) == 0 {
		return 0
	}
	return max(xxhash.Sum64(content), 1)
}

// encode returns the content compressed, as the difference to a base if that isn't empty.
func encode(base, content []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(max(zstd.MinWindowSize, 1<<bits.Len(uint(len(base)+len(content))))), // spans both
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("compress a configuration: %w", err)
	}
	return e.EncodeAll(content, nil), nil
}

// decode returns the content of an encoding, given the base that it was encoded with.
func decode(base, encoded []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxContentBytes),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("decompress a configuration: %w", err)
	}
	defer d.Close()
	content, err := d.DecodeAll(encoded, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress a configuration: %w", err)
	}
	return content, nil
}
