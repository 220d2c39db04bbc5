package messenger

import (
	"encoding/binary"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// prefixBytes is the size of the length prefix of a message: a big-endian uint32.
const prefixBytes = 4

// frame is one message: a request if Method is set, otherwise a response. Error holds a classifier.Error in JSON.
type frame struct {
	Sequence uint64             `msgpack:"s"`
	Method   string             `msgpack:"m,omitempty"`
	Error    string             `msgpack:"e,omitempty"`
	Body     msgpack.RawMessage `msgpack:"b,omitempty"`
}

// writeFrame encodes f with its length prefix and sends it in one Write.
func writeFrame(w io.Writer, f frame) error {
	content, err := encode(f)
	if err != nil {
		return err
	}
	if len(content) > MaxMessageBytes {
		return classifier.New(classifier.CodePeerTooLarge, f.Method, "message has %d bytes, the limit is %d",
			len(content), MaxMessageBytes)
	}
	message := make([]byte, prefixBytes, prefixBytes+len(content))
	binary.BigEndian.PutUint32(message, uint32(len(content)))
	_, err = w.Write(append(message, content...))
	return err
}

// readFrame reads one message. An invalid length or content returns an error with a 3xx code; a failed read returns the
// error of the reader.
func readFrame(r io.Reader) (frame, error) {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return frame{}, err
	}
	length := int64(binary.BigEndian.Uint32(prefix[:]))
	if length > MaxMessageBytes {
		return frame{}, classifier.New(classifier.CodePeerTooLarge, "message", "message has %d bytes, the limit is %d",
			length, MaxMessageBytes)
	}
	// ReadAll grows its buffer as bytes arrive, so that a false length alone allocates no memory.
	content, err := io.ReadAll(io.LimitReader(r, length))
	if err != nil {
		return frame{}, err
	}
	if int64(len(content)) < length {
		return frame{}, io.ErrUnexpectedEOF
	}
	var f frame
	if err := decode(content, &f); err != nil {
		return frame{}, err
	}
	return f, nil
}
