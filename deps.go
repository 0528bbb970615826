//go:build deps

package main

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/Shopify/toxiproxy"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/coder/quartz"
	_ "github.com/goccy/go-yaml"
	_ "github.com/google/subcommands"
	_ "github.com/phuslu/log"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/sourcegraph/jsonrpc2"
	_ "github.com/stretchr/testify/require"
	_ "go.uber.org/goleak"
	_ "goa.design/goa/v3/http"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "pgregory.net/rapid"
)
