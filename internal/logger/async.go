package logger

import (
	"bufio"
	"context"
	"io"
	"strconv"
	"sync/atomic"
)

const (
	// asyncLines is the number of lines that wait for a slow reader; later ones are dropped and counted.
	asyncLines = 1024
	// asyncBytes is the size of the writes when many lines wait.
	asyncBytes = 16 << 10
)

// Async is a writer for log lines that never blocks. It is safe for concurrent use.
type Async struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewAsync returns a writer whose lines are written by Run.
func NewAsync(output io.Writer) *Async {
	return &Async{output: output, lines: make(chan []byte, asyncLines)}
}

// Write takes one line. It reports success also for a line that is dropped.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until ctx ends, and then those that wait. It returns the first error of the output.
func (a *Async) Run(ctx context.Context) error {
	buffer := bufio.NewWriterSize(a.output, asyncBytes)
	for {
		select {
		case line := <-a.lines:
			_, _ = buffer.Write(line) // the error comes again with Flush
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
