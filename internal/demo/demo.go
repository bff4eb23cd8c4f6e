// Package demo runs a daemon with stand-ins in one process on loopback, and sends
// traffic of three tiers through it.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/tacktally/tacktally/internal/standin/engine"
	"github.com/tacktally/tacktally/internal/standin/rig"
)

// Addresses of the demo's daemon.
const (
	callerAddress   = "127.0.0.1:8080"
	operatorAddress = "127.0.0.1:8081"
	peerAddress     = "127.0.0.1:8082"
	reportInterval  = 2 * time.Second
)

// Options of a demo.
type Options struct {
	Out io.Writer
	// Duration after which it ends; 0 runs until ctx ends.
	Duration time.Duration
	// Rate is requests a second.
	Rate float64
}

// engineSpecs are three unlike engines.
var engineSpecs = []engine.Spec{
	{PrefillPerSecond: 20_000, StepBase: 8 * time.Millisecond, StepPerSequence: 200 * time.Microsecond, Slots: 16, ChunkTokens: 512, CacheBlocks: 1024},
	{PrefillPerSecond: 8_000, StepBase: 15 * time.Millisecond, StepPerSequence: 400 * time.Microsecond, Slots: 12, ChunkTokens: 512, CacheBlocks: 512},
	{PrefillPerSecond: 3_000, StepBase: 30 * time.Millisecond, StepPerSequence: time.Millisecond, Slots: 8, ChunkTokens: 256, CacheBlocks: 256},
}

// Run runs the demo until ctx ends or the duration is over.
func Run(ctx context.Context, o Options) error {
	if o.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, o.Duration)
		defer cancel()
	}
	r, err := rig.Start(rig.Options{Engines: engineSpecs, Callers: callerAddress, Operators: operatorAddress, Peers: peerAddress})
	if err != nil {
		return fmt.Errorf("the demo needs ports 8080 to 8082 on loopback: %w", err)
	}
	defer r.Close()
	fmt.Fprintf(o.Out, `tacktally demo: one daemon, %d unlike engines, one plain service, one stand-in platform

callers    http://%s
operators  http://%s

Try, in another terminal:
  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Tacktally-Tier: %s' \
    -d '{"model":"%s","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"two sofas and a piano"}]}'
  go run ./cmd/tacktally status

`, len(engineSpecs), callerAddress, operatorAddress, callerAddress, rig.APIKey, rig.TierUrgent, rig.Model)
	newTraffic(o, "http://"+callerAddress).run(ctx)
	return nil
}
