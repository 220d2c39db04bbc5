// Package logger writes JSON log lines with a message prefix per component of the node and bounds their rate.
package logger

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// New returns a logger that writes JSON lines at or above level (debug, info, warn or error) to output.
func New(level string, output io.Writer) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, classifier.Wrap(classifier.CodeSettingsInvalid, "log", err)
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey = "time"
	encoding.MessageKey = "message"
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	sink := zapcore.Lock(zapcore.AddSync(output))
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoding), sink, minLevel)), nil
}

// WithPrefix returns a logger whose messages start with the name of a component, such as "relayer: ".
func WithPrefix(base *zap.Logger, name string) *zap.Logger {
	return base.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return &prefixCore{Core: core, prefix: name + ": "}
	}))
}
