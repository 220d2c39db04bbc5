package logger

import (
	"bufio"
	"context"
	"io"
	"strconv"
	"sync/atomic"
)

const (
	// maxQueuedLines is the number of lines queued for a slow output; further lines are dropped and counted.
	maxQueuedLines = 1024
	// writeBufferBytes is the size of a write when many lines are queued.
	writeBufferBytes = 16 << 10
)

// Async is a writer for log lines that never blocks. It is safe for concurrent use.
type Async struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewAsync returns a writer that queues lines until Run writes them to output.
func NewAsync(output io.Writer) *Async {
	return &Async{output: output, lines: make(chan []byte, maxQueuedLines)}
}

// Write queues a copy of one line. It reports success even if the line is dropped.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes queued lines until ctx ends, and then the remaining ones. It returns the first error of the output.
func (a *Async) Run(ctx context.Context) error {
	buffer := bufio.NewWriterSize(a.output, writeBufferBytes)
	for {
		select {
		case line := <-a.lines:
			_, _ = buffer.Write(line) // Flush returns the error again
		case <-ctx.Done():
			for len(a.lines) > 0 {
				_, _ = buffer.Write(<-a.lines)
			}
			return buffer.Flush()
		}
		if len(a.lines) > 0 {
			continue
		}
		if count := a.dropped.Swap(0); count > 0 {
			_, _ = buffer.WriteString(`{"level":"warn","message":"logger: lines dropped","count":` +
				strconv.FormatInt(count, 10) + "}\n")
		}
		if err := buffer.Flush(); err != nil {
			return err
		}
	}
}
