// Package compressor compresses a text with zstd and an earlier version of the text as the dictionary.
package compressor

import (
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

// maxWindow is the largest window that Decompress accepts, in bytes.
const maxWindow = 8 << 20

// Compress encodes body with zstd. An empty dictionary means no dictionary.
func Compress(body, dictionary []byte) ([]byte, error) {
	// A window just large enough for both texts avoids clearing megabytes for a body of a few hundred bytes.
	window := max(zstd.MinWindowSize, 1<<bits.Len(uint(len(body)+len(dictionary))))
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithEncoderCRC(false), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(window),
	}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(1, dictionary))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(body, nil), nil
}

// Decompress returns the text that Compress encoded with the same dictionary. It fails if the text is longer than
// limit, in bytes.
func Decompress(body, dictionary []byte, limit uint64) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(limit), zstd.WithDecoderMaxWindow(maxWindow),
	}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(1, dictionary))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer decoder.Close()
	return decoder.DecodeAll(body, nil)
}
