package logger

import (
	"strings"

	"go.uber.org/zap/zapcore"
)

// prefixed is a core that puts a prefix before each message that does not have it yet.
type prefixed struct {
	zapcore.Core
	prefix string
}

// With implements zapcore.Core.
func (p *prefixed) With(fields []zapcore.Field) zapcore.Core {
	return &prefixed{Core: p.Core.With(fields), prefix: p.prefix}
}

// Check implements zapcore.Core.
func (p *prefixed) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if p.Enabled(entry.Level) {
		return checked.AddCore(entry, p)
	}
	return checked
}

// Write implements zapcore.Core.
func (p *prefixed) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	if !strings.HasPrefix(entry.Message, p.prefix) {
		entry.Message = p.prefix + entry.Message
	}
	return p.Core.Write(entry, fields)
}
