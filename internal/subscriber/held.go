package subscriber

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/compressor"
)

// historySize is the number of versions before the current one that are kept to encode differences: a node that waits
// at a relay lags by one version, and by another one while changes come in quick succession.
const historySize = 2

// packedBytes is the length from which a configuration is compressed. Below, the memory of the compressor costs more
// than the bytes that it saves inside a data centre.
const packedBytes = 16 << 10

// held is a configuration with the bytes that it came in, for other nodes.
type held struct {
	view   *compiler.View
	value  []byte
	digest uint64 // of value

	mutex sync.Mutex
	base  uint64 // digest of the text that packed is a difference to; 0 for none
	delta []byte // value, compressed
}

func newHeld(view *compiler.View, value []byte) *held {
	return &held{view: view, value: value, digest: xxhash.Sum64(value)}
}

// pack returns the compressed value, as a difference to the base unless that is nil. The last result is kept, since
// most nodes ask for the same.
func (h *held) pack(base *held) ([]byte, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var digest uint64
	var dictionary []byte
	if base != nil {
		digest, dictionary = base.digest, base.value
	}
	if h.delta != nil && h.base == digest {
		return h.delta, nil
	}
	packed, err := compressor.Compress(h.value, dictionary)
	if err != nil {
		return nil, err
	}
	h.base, h.delta = digest, packed
	return packed, nil
}
