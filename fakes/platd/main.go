// Command platd serves the platform stand-in for tests with processes of their
// own. It prints its address, host:port, on one line, and ends on SIGTERM or
// SIGINT.
//
// A reboot order is passed on to the worker stand-in at the host's listed
// address. Faults and counts are reached over HTTP as package fakes describes.
package main

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"shallotpaddle/fakes"
)

// rebootTimeout bounds the call that reboots a worker stand-in.
const rebootTimeout = 2 * time.Second

func main() {
	listen := flag.String("listen", "127.0.0.1:0", "address to serve on")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := serve(ctx, *listen); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func serve(ctx context.Context, listen string) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("platd: %w", err)
	}
	fmt.Println(ln.Addr())
	var p *fakes.Platform
	p = fakes.NewPlatform(func(host string) { go reboot(p.AddrOf(host)) })
	srv := &http.Server{Handler: p}
	go func() {
		<-ctx.Done()
		_ = srv.Close()
	}()
	if err := srv.Serve(ln); err != http.ErrServerClosed {
		return fmt.Errorf("platd: %w", err)
	}
	return nil
}

// rebootRetry is the pause before a reboot without an answer is passed on again,
// and rebootTries bounds that: a platform carries out what it has accepted, also
// when the worker's link is cut just then.
const (
	rebootRetry = 200 * time.Millisecond
	rebootTries = 300
)

// reboot passes a reboot on until the worker has answered; the order's name lets
// the worker carry it out once.
func reboot(addr string) {
	client := http.Client{Timeout: rebootTimeout}
	body := `{"reboot":true,"order":"` + rand.Text() + `"}`
	for range rebootTries {
		res, err := client.Post("http://"+addr+"/fault", "application/json", strings.NewReader(body))
		if err == nil {
			_ = res.Body.Close()
			return
		}
		fmt.Fprintln(os.Stderr, "platd: reboot:", err)
		time.Sleep(rebootRetry)
	}
}
