//go:build deps

// Package parsleydeal keeps modules in go.mod that packages under way will use.
package parsleydeal

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/matryer/is"
	_ "github.com/openai/openai-go/v3"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "pgregory.net/rapid"
)
