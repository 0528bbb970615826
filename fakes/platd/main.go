// Command platd serves the platform stand-in in a process of its own, for tests
// that start processes. It prints its address, host:port, on one line, and ends on
// SIGTERM or SIGINT.
//
// It forwards a reboot order to the worker stand-in at the address that the host
// list has for the host. Tests set faults and read counts over HTTP, as package
// fakes describes.
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

// rebootTimeout is the timeout of a call that reboots a worker stand-in.
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
	p = fakes.NewPlatform(func(host string) { go forwardReboot(p.AddrOf(host)) })
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

// Retries of a reboot order: a platform carries out an order that it has accepted,
// even if the connection to the worker is cut at that moment.
const (
	// rebootRetry is the pause before a reboot order without an answer is sent again.
	rebootRetry = 200 * time.Millisecond
	// maxRebootTries is the largest number of calls for one reboot order.
	maxRebootTries = 300
)

// forwardReboot sends a reboot order until the worker has answered; the order's name
// makes the worker carry it out only once.
func forwardReboot(addr string) {
	client := http.Client{Timeout: rebootTimeout}
	body := `{"reboot":true,"order":"` + rand.Text() + `"}`
	for range maxRebootTries {
		res, err := client.Post("http://"+addr+"/fault", "application/json", strings.NewReader(body))
		if err == nil {
			_ = res.Body.Close()
			return
		}
		fmt.Fprintln(os.Stderr, "platd: reboot:", err)
		time.Sleep(rebootRetry)
	}
}
