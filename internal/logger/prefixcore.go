package logger

import (
	"strings"

	"go.uber.org/zap/zapcore"
)

// prefixCore is a zapcore.Core that adds a prefix to each message that does not start with it.
type prefixCore struct {
	zapcore.Core
	prefix string
}

// With implements zapcore.Core.
func (p *prefixCore) With(fields []zapcore.Field) zapcore.Core {
	return &prefixCore{Core: p.Core.With(fields), prefix: p.prefix}
}

// Check implements zapcore.Core.
func (p *prefixCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if p.Enabled(entry.Level) {
		return checked.AddCore(entry, p)
	}
	return checked
}

// Write implements zapcore.Core.
func (p *prefixCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	if !strings.HasPrefix(entry.Message, p.prefix) {
		entry.Message = p.prefix + entry.Message
	}
	return p.Core.Write(entry, fields)
}
