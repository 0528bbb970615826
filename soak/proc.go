package main

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// starter starts processes from one thread that lasts as long as the starter: the kernel
// kills them when that thread ends, however the soak ends.
type starter struct{ tasks chan func() }

func newStarter() *starter {
	s := &starter{make(chan func())}
	go func() {
		runtime.LockOSThread()
		for f := range s.tasks {
			f()
		}
	}()
	return s
}

func (s *starter) close() { close(s.tasks) }

// start starts a program that appends its output to a file.
func (s *starter) start(logFile, name string, args ...string) (*process, error) {
	out, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	defer out.Close()
	p := &process{cmd: exec.Command(name, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	s.tasks <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	go func() {
		_ = p.cmd.Wait() // the exit code says the same
		p.ended = time.Now()
		close(p.done)
	}()
	return p, nil
}

// process is a program that the soak started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when it has exited
	// ended is when it exited; to be read after done is closed.
	ended time.Time
	// stopped tells that the soak has sent it SIGTERM or SIGKILL.
	stopped atomic.Bool
}

func (p *process) signal(s syscall.Signal) {
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.stopped.Store(true)
	}
	_ = p.cmd.Process.Signal(s) // it may have exited
}

// kill kills the process, also if it is paused, and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}
