package sched_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for property tests unless the command line gives one,
// so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("5")
	}
	os.Exit(m.Run())
}
