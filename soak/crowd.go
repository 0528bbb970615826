package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"shallotpaddle/fakes/site"
)

// Crowds of clients that are not trusted.
const (
	crowdGap  = 8 * time.Second // mean pause between the begins of two crowds
	crowdMost = 5 * time.Second // how long one lasts at most
	crowdSize = 400             // connections
	crowdBody = 262_144         // bytes of a body
	// crowdPiece is the size of the pieces in which bodies are sent.
	crowdPiece = 16 << 10
)

// crowdSchedule returns the crowds of a run.
func crowdSchedule(seed uint64, d time.Duration) []event {
	r := rand.New(rand.NewPCG(seed, streamCrowd))
	var out []event
	for at := firstFault; at < d; at += minGap + time.Duration(r.Float64()*2*float64(crowdGap)) {
		length := 500*time.Millisecond + time.Duration(r.Float64()*float64(crowdMost))
		out = append(out, event{"crowd", at, min(length, d-at), r.IntN(1 << 16), r.Float64()})
	}
	return out
}

// crowdKinds are what the connections of a crowd send. No job of theirs is valid.
var crowdKinds = []func(c net.Conn, key string) error{
	func(c net.Conn, key string) error { // stops short of its end
		return send(c, crowdHeader(key, "Content-Length: "+strconv.Itoa(crowdBody)), strings.Repeat("x", crowdBody-1))
	},
	func(c net.Conn, key string) error { // in chunks that don't end
		chunk := fmt.Sprintf("%x\r\n%s\r\n", crowdPiece, strings.Repeat("x", crowdPiece))
		return send(c, crowdHeader(key, "Transfer-Encoding: chunked"), strings.Repeat(chunk, crowdBody/crowdPiece))
	},
	func(c net.Conn, key string) error { // whole, with very many steps
		const begin, end = `{"Steps":[`, `{}]}`
		steps := strings.Repeat("{},", (crowdBody-len(begin)-len(end))/3)
		body := begin + steps + end
		return send(c, crowdHeader(key, "Content-Length: "+strconv.Itoa(len(body))), body)
	},
	func(c net.Conn, _ string) error { // a header without end
		return send(c, "GET / HTTP/1.1\r\nHost: x\r\n", strings.Repeat("a:\r\n", crowdBody/4))
	},
	func(net.Conn, string) error { return nil },
}

// crowdHeader returns the header of a hand-in for a queue that every configuration has. Its key, if
// there are workspaces, is valid: a call without one is answered before its body is read.
func crowdHeader(key, field string) string {
	return fmt.Sprintf("POST /soak/%016x HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\n%s\r\n\r\n", rand.Uint64(), site.Host, key, field)
}

// send sends a header and a body piece by piece.
func send(c net.Conn, header, body string) error {
	if _, err := c.Write([]byte(header)); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	for len(body) > 0 {
		n := min(len(body), crowdPiece)
		if _, err := c.Write([]byte(body[:n])); err != nil {
			return fmt.Errorf("soak: %w", err)
		}
		body = body[n:]
	}
	return nil
}

// crowd opens connections to an entry, which all send the same, and stay open until its end.
func crowd(ctx context.Context, s *Soak, e event) bool {
	en := s.entries[e.Pick%len(s.entries)]
	kind := crowdKinds[e.Pick/8%len(crowdKinds)]
	address := en.Callers
	if e.Size < 0.2 {
		address = en.Readiness
	}
	p, key := en.process(), s.validKey(e.Pick)
	ctx, done := context.WithTimeout(ctx, e.For)
	defer done()
	var all sync.WaitGroup
	for range crowdSize {
		all.Go(func() {
			c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err != nil {
				return // another fault has ended the process
			}
			defer c.Close()
			stop := context.AfterFunc(ctx, func() { _ = c.Close() })
			defer stop()
			_ = kind(c, key) // the entry may close the connection
			<-ctx.Done()
		})
	}
	all.Wait()
	if mb := peakMb(p.cmd.Process.Pid); mb > 0 {
		s.check("MEMORY", mb <= site.MemoryMb, "%s has taken %d MB of %d", en.Name, mb, site.MemoryMb)
	}
	return true
}

// peakMb returns the peak of the resident memory of a process; 0 after its end.
func peakMb(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), "VmHWM:")
	kb, _, _ := strings.Cut(rest, "kB")
	n, _ := strconv.Atoi(strings.TrimSpace(kb))
	return n >> 10
}
