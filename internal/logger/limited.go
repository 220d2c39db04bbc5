package logger

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	limitedShards = 16
	// maxShardKeys bounds the memory for keys that come from outside the process, such as addresses.
	maxShardKeys = 256
	// overflowKey is shared by all lines whose own key does not fit into a full shard.
	overflowKey = "overflow"
)

// Limited logs at most one line per key and minute. The next line of a key has the number of lines suppressed since the
// last one in the field "suppressed". It is safe for concurrent use.
type Limited struct {
	logger *zap.Logger
	clock  timekeeper.Clock
	shards [limitedShards]limitedShard
}

type limitedShard struct {
	mutex sync.Mutex
	keys  map[string]*window
}

// window is the minute after a line of a key.
type window struct {
	start      timekeeper.Millis
	suppressed uint64
}

// NewLimited returns a Limited that writes to a logger.
func NewLimited(logger *zap.Logger, clock timekeeper.Clock) *Limited {
	l := &Limited{logger: logger, clock: clock}
	for i := range l.shards {
		l.shards[i].keys = make(map[string]*window)
	}
	return l
}

// Info logs at level info, at most once per key and minute.
func (l *Limited) Info(key, message string, fields ...zap.Field) {
	l.log(zapcore.InfoLevel, key, message, fields)
}

// Warn logs at level warn, at most once per key and minute.
func (l *Limited) Warn(key, message string, fields ...zap.Field) {
	l.log(zapcore.WarnLevel, key, message, fields)
}

// Error logs at level error, at most once per key and minute.
func (l *Limited) Error(key, message string, fields ...zap.Field) {
	l.log(zapcore.ErrorLevel, key, message, fields)
}

func (l *Limited) log(level zapcore.Level, key, message string, fields []zap.Field) {
	shard := &l.shards[xxhash.Sum64String(key)%limitedShards]
	suppressed, allowed := shard.allow(key, l.clock.Now())
	if !allowed {
		return
	}
	if suppressed > 0 {
		fields = append(fields[:len(fields):len(fields)], zap.Uint64("suppressed", suppressed))
	}
	l.logger.Log(level, message, fields...)
}

// allow reports whether a line may be written and how many lines of the key were suppressed before it.
func (s *limitedShard) allow(key string, now timekeeper.Millis) (uint64, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, ok := s.keys[key]
	if !ok {
		if len(s.keys) >= maxShardKeys {
			s.expire(now)
		}
		if len(s.keys) >= maxShardKeys {
			key = overflowKey
			current, ok = s.keys[key]
		}
	}
	if !ok {
		s.keys[key] = &window{start: now}
		return 0, true
	}
	if now-current.start < timekeeper.Minute {
		current.suppressed++
		return 0, false
	}
	suppressed := current.suppressed
	*current = window{start: now}
	return suppressed, true
}

// expire removes the keys whose minute has passed.
func (s *limitedShard) expire(now timekeeper.Millis) {
	for key, current := range s.keys {
		if now-current.start >= timekeeper.Minute && key != overflowKey {
			delete(s.keys, key)
		}
	}
}
