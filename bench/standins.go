package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"

	"shallotpaddle/fakes"
)

// standInsArg makes the program serve the stand-ins instead of measuring. They run
// in a process of their own, so that their CPU time is not counted as the entries'.
const standInsArg = "serve-stand-ins"

// serveStandIns serves a platform and one worker, whose address all hosts share,
// until standard input is closed. It prints both addresses.
func serveStandIns() error {
	pl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	wl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(pl, fakes.NewPlatform(func(string) {})) }()
	go func() { _ = http.Serve(wl, fakes.NewWorker("all")) }()
	fmt.Println(pl.Addr(), wl.Addr())
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}

// standIns is a process that serves the stand-ins, with their addresses.
type standIns struct {
	cmd              *exec.Cmd
	in               io.WriteCloser
	platform, worker string
}

func startStandIns() (*standIns, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	s := &standIns{cmd: exec.Command(self, standInsArg)}
	s.cmd.Stderr = os.Stderr
	if s.in, err = s.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	if _, err := fmt.Fscan(bufio.NewReader(out), &s.platform, &s.worker); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *standIns) stop() {
	_ = s.in.Close()
	_ = s.cmd.Wait()
}

// send sends v as JSON to the platform stand-in; a status of 300 or above is an error.
func (s *standIns) send(method, path string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, "http://"+s.platform+path, strings.NewReader(string(b)))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s: %s", method, path, res.Status)
	}
	return nil
}

// seen returns the platform stand-in's counts of calls.
func (s *standIns) seen() (fakes.Seen, error) {
	var out fakes.Seen
	res, err := http.Get("http://" + s.platform + "/seen")
	if err != nil {
		return out, err
	}
	defer res.Body.Close()
	err = json.NewDecoder(res.Body).Decode(&out)
	return out, err
}
