package subscriber

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/compressor"
)

// historySize is the number of versions before the active one that are kept as bases of deltas: a node that waits at a
// relay lags by one version, and by a second one while changes follow in quick succession.
const historySize = 2

// minCompressBytes is the size from which a configuration is compressed. Below it, the memory of the compressor costs
// more than the saved traffic inside a data centre.
const minCompressBytes = 16 << 10

// configuration is a decoded configuration with its encoded value, which is sent to other nodes.
type configuration struct {
	view   *compiler.View
	value  []byte
	digest uint64 // of value

	mutex sync.Mutex
	base  uint64 // digest of the value that delta was compressed against; 0 for none
	delta []byte // last result of compress
}

func newConfiguration(view *compiler.View, value []byte) *configuration {
	return &configuration{view: view, value: value, digest: xxhash.Sum64(value)}
}

// compress returns the compressed value, as a delta to the base unless that is nil. The last result is cached, since
// most nodes request the same delta.
func (c *configuration) compress(base *configuration) ([]byte, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var digest uint64
	var dictionary []byte
	if base != nil {
		digest, dictionary = base.digest, base.value
	}
	if c.delta != nil && c.base == digest {
		return c.delta, nil
	}
	compressed, err := compressor.Compress(c.value, dictionary)
	if err != nil {
		return nil, err
	}
	c.base, c.delta = digest, compressed
	return compressed, nil
}
