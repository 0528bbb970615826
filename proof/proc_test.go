package proof

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// binDir holds the programs that TestMain builds.
var binDir string

const (
	// parallelTests is the number of tests and rows that may run in parallel: all of
	// them, since fleetSlots limits their fleets.
	parallelTests = "100"
	// parallelFleets is the number of fleets that run side by side, besides those that
	// hold no slot. Fleets mostly wait for intervals; with eight, the other rows end
	// about when those of TestWave do.
	parallelFleets = 8
)

// fleetSlots holds one element for each fleet that runs. The rows of TestWave hold
// none: they take longest by far, so that the package would end later if they waited.
var fleetSlots = make(chan struct{}, parallelFleets)

// takeSlot waits for a slot, which is released when the test has ended.
func takeSlot(t *testing.T) {
	began := time.Now()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	t.Logf("waited %s for a slot", time.Since(began).Round(time.Millisecond))
}

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", parallelTests); err != nil {
		panic(err)
	}
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		panic(err)
	}
	binDir = dir
	logrus.SetLevel(logrus.ErrorLevel) // the fault proxy logs each connection
	build := exec.Command("go", "build", "-o", dir, "shallotpaddle", "shallotpaddle/fakes/platd", "shallotpaddle/fakes/workd")
	build.Stderr = os.Stderr
	code := 1
	if err := proxies.start(); err != nil {
		panic(err)
	}
	if err := build.Run(); err == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a program that a test started.
type process struct {
	cmd  *exec.Cmd
	log  *syncBuffer   // standard output and standard error
	done chan struct{} // closed when the program has exited
	err  error
}

// syncBuffer collects a program's output, which failure messages include.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *syncBuffer) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(b)
}

func (o *syncBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// spawn starts a program, which is killed when the test ends. With readLine it
// waits for the first line on standard output and returns it.
func spawn(t *testing.T, readLine bool, name string, args ...string) (*process, string) {
	t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(binDir, name), args...), log: &syncBuffer{}, done: make(chan struct{})}
	p.cmd.Stderr = p.log
	out, err := p.cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, p.cmd.Start())
	rd := bufio.NewReader(out)
	line := ""
	if readLine {
		line, err = rd.ReadString('\n')
		require.NoError(t, err, "%s: %s", name, p.log)
	}
	go func() {
		_, _ = io.Copy(p.log, rd)
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() { p.kill() })
	return p, line
}

// kill sends SIGKILL, after SIGCONT in case the program is paused, and waits
// for the program to exit.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// wait waits for the program to exit and returns its exit code. It fails the test
// after limit.
func (p *process) wait(t *testing.T, limit time.Duration) int {
	t.Helper()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(limit):
		require.FailNow(t, "program did not exit in time", p.log.String())
		return -1
	}
}

// The entries' ports lie below the ephemeral port range of the system, so that no
// outgoing connection can take one before the entry listens.
const (
	firstPort = 12000
	lastPort  = 30000
)

// nextPort is the port that freeAddr tried last. Its start depends on the process
// id, so that test programs that run at the same time try different ports.
var nextPort atomic.Int32

// freeAddr returns a loopback address on which nothing listens, and which it has
// not returned before.
func freeAddr(t *testing.T) string {
	t.Helper()
	nextPort.CompareAndSwap(0, int32(firstPort+os.Getpid()%100*150))
	for range lastPort - firstPort {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+(nextPort.Add(1)-firstPort)%(lastPort-firstPort))
		if isFree(addr) {
			return addr
		}
	}
	require.FailNow(t, "no free port")
	return ""
}

// isFree reports whether nothing listens on addr. No program may be started
// meanwhile: until it executes, the new process would hold a copy of the listener and
// with it the address.
func isFree(addr string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	_ = ln.Close()
	return true
}

const (
	// minPollInterval is the least interval at which eventually polls.
	minPollInterval = 20 * time.Millisecond
	// pollsPerLimit sets the interval of long waits: each poll takes time from the
	// fleets that run beside it.
	pollsPerLimit = 1000
)

// eventually polls ok until it returns true, and fails the test after limit. what
// names the condition in the failure message.
func eventually(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(deadline) {
			require.FailNow(t, fmt.Sprintf("condition not met within %s: %s", limit, what))
		}
		<-time.After(max(minPollInterval, limit/pollsPerLimit))
	}
}
