// Package launcher starts processes for measurements and tests, and ends them by their ids.
package launcher

import (
	"context"
	"os"
	"os/exec"
	"syscall"
)

// Process is one process in the background. Its output goes to the end of a file.
type Process struct {
	Done      chan struct{} // closed at the end of the present run
	arguments []string
	log       string
	command   *exec.Cmd
}

// Launch starts a program with its output in a file. The process is killed when ctx ends.
func Launch(ctx context.Context, log string, arguments ...string) (*Process, error) {
	p := &Process{arguments: arguments, log: log}
	return p, p.Start(ctx)
}

// Start starts the program again after its end.
func (p *Process) Start(ctx context.Context) error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.command = exec.CommandContext(ctx, p.arguments[0], p.arguments[1:]...)
	p.command.Stdout, p.command.Stderr = out, out
	p.Done = make(chan struct{})
	if err := p.command.Start(); err != nil {
		return err
	}
	command, done := p.command, p.Done
	go func() {
		_ = command.Wait()
		_ = out.Close()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal)
}

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.Done:
		return false
	default:
		return true
	}
}
