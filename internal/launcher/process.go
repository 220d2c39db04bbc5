// Package launcher starts processes for measurements and tests, and signals them by process id.
package launcher

import (
	"context"
	"os"
	"os/exec"
	"syscall"
)

// Process is a process in the background, whose output is appended to a file.
type Process struct {
	Done      chan struct{} // closed when the current run ends
	arguments []string      // the program and its arguments
	logPath   string
	command   *exec.Cmd
}

// Launch starts the program arguments[0] and appends its output to the file logPath. The process is killed when ctx
// ends.
func Launch(ctx context.Context, logPath string, arguments ...string) (*Process, error) {
	p := &Process{arguments: arguments, logPath: logPath}
	return p, p.Start(ctx)
}

// Start starts the program, or starts it again after it has ended. The process is killed when ctx ends.
func (p *Process) Start(ctx context.Context) error {
	output, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.command = exec.CommandContext(ctx, p.arguments[0], p.arguments[1:]...)
	p.command.Stdout, p.command.Stderr = output, output
	p.Done = make(chan struct{})
	if err := p.command.Start(); err != nil {
		return err
	}
	command, done := p.command, p.Done
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal)
}

// ID returns the process id.
func (p *Process) ID() int {
	return p.command.Process.Pid
}

// Kill sends SIGKILL to the process.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
}

// Running reports whether the process has not ended yet.
func (p *Process) Running() bool {
	select {
	case <-p.Done:
		return false
	default:
		return true
	}
}
