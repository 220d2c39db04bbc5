package main

import (
	"context"
	"os"
	"os/exec"
	"syscall"
)

// process is one process of a measurement. It is ended by its id.
type process struct {
	arguments []string
	log       string
	command   *exec.Cmd
	done      chan struct{}
}

// startProcess runs a program in the background with its output in a file.
func startProcess(ctx context.Context, log string, arguments ...string) (*process, error) {
	p := &process{arguments: arguments, log: log}
	return p, p.start(ctx)
}

func (p *process) start(ctx context.Context) error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.command = exec.CommandContext(ctx, p.arguments[0], p.arguments[1:]...)
	p.command.Stdout, p.command.Stderr = out, out
	p.done = make(chan struct{})
	if err := p.command.Start(); err != nil {
		return err
	}
	command, done := p.command, p.done
	go func() {
		_ = command.Wait()
		_ = out.Close()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal)
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}
