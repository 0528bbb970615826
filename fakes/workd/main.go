// Command workd serves worker stand-ins in a process of its own, for tests that start
// processes.
//
// Usage: workd -n 8 -dcs suva,nadi -rack 4 -prefix w
//
// It prints one line of JSON, the hosts in the form of the platform's host list, and
// ends on SIGTERM or SIGINT. Tests set faults and read records over HTTP at each
// worker's address, as package fakes describes.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"golang.org/x/sync/errgroup"

	"shallotpaddle/fakes"
	"shallotpaddle/plat"
)

func main() {
	n := flag.Int("n", 8, "number of workers")
	dcs := flag.String("dcs", "suva", "data centres, separated by commas, to which workers are assigned in turn")
	rack := flag.Int("rack", 4, "number of workers per rack")
	prefix := flag.String("prefix", "w", "prefix of the host names")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := serve(ctx, fakes.Hosts(*prefix, *n, strings.Split(*dcs, ","), *rack)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func serve(ctx context.Context, hosts []plat.Host) error {
	g, ctx := errgroup.WithContext(ctx)
	for i := range hosts {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("workd: %w", err)
		}
		hosts[i].Addr = ln.Addr().String()
		srv := &http.Server{Handler: fakes.NewWorker(hosts[i].Name)}
		g.Go(func() error { return srv.Serve(ln) })
		context.AfterFunc(ctx, func() { _ = srv.Close() })
	}
	b, err := json.Marshal(hosts)
	if err != nil {
		return fmt.Errorf("workd: %w", err)
	}
	fmt.Println(string(b))
	if err := g.Wait(); ctx.Err() == nil {
		return fmt.Errorf("workd: %w", err)
	}
	return nil
}
