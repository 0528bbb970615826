// Command bench runs the project's measurements and prints their figures.
//
// Usage: bench [-seed N] [-profile FILE] [EXPERIMENT...]; without names it runs all.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/pprof"
	"slices"
)

// experiments maps a name to a measurement that prints its figures. Each file
// of the package registers its own in init.
var experiments = map[string]func(w io.Writer, seed uint64) error{}

func main() {
	seed := flag.Uint64("seed", 1, "seed of every random choice")
	profile := flag.String("profile", "", "write a processor profile to `file`")
	flag.Parse()
	names := flag.Args()
	if len(names) == 1 && names[0] == standInsArg {
		if err := serveStandIns(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if *profile != "" {
		stop, err := startProfile(*profile)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		defer stop()
	}
	if len(names) == 0 {
		for n := range experiments {
			names = append(names, n)
		}
		slices.Sort(names)
	}
	for _, n := range names {
		if err := run(n, *seed); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

// startProfile writes a CPU profile to file until the returned function is called.
func startProfile(file string) (stop func(), err error) {
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close()
	}, nil
}

func run(name string, seed uint64) error {
	f, ok := experiments[name]
	if !ok {
		return fmt.Errorf("unknown experiment %q", name)
	}
	fmt.Printf("## %s, seed %d\n", name, seed)
	if err := f(os.Stdout, seed); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
