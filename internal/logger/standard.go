package logger

import (
	"log"
	"strings"

	"go.uber.org/zap"
)

// maxStandardBytes bounds what is logged of one message of the standard logger, which may have the stack of a panic.
const maxStandardBytes = 4 << 10

// RedirectStandard sends the messages of the standard logger, which net/http uses, to l until restore is called.
// Messages that begin with the same words count as one key.
func RedirectStandard(l *Limited) (restore func()) {
	output, flags := log.Writer(), log.Flags()
	log.SetOutput(&standardWriter{l})
	log.SetFlags(0)
	return func() {
		log.SetOutput(output)
		log.SetFlags(flags)
	}
}

type standardWriter struct{ limited *Limited }

// Write implements io.Writer for one message.
func (s *standardWriter) Write(message []byte) (int, error) {
	text := strings.TrimSpace(string(message[:min(len(message), maxStandardBytes)]))
	key, _, _ := strings.Cut(text, ":")
	s.limited.Warn(key, "message of the standard library", zap.String("text", text))
	return len(message), nil
}
