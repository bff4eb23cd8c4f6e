// Package demo runs an instance with fake services in one process on loopback, and sends
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

// Addresses of the instance, and the interval of reports.
const (
	callerAddress   = "127.0.0.1:8080"
	operatorAddress = "127.0.0.1:8081"
	peerAddress     = "127.0.0.1:8082"
	reportInterval  = 2 * time.Second
)

// Options of a demo.
type Options struct {
	// Out is where the demo prints its reports.
	Out io.Writer
	// Duration is the time after which the demo ends; 0 for none.
	Duration time.Duration
	// Rate is the number of requests per second.
	Rate float64
}

// engineSpecs describe three engines of different speeds.
var engineSpecs = []engine.Spec{
	{PrefillPerSecond: 20_000, StepBase: 8 * time.Millisecond, StepPerSequence: 200 * time.Microsecond, Slots: 16, ChunkTokens: 512, CacheBlocks: 1024},
	{PrefillPerSecond: 8_000, StepBase: 15 * time.Millisecond, StepPerSequence: 400 * time.Microsecond, Slots: 12, ChunkTokens: 512, CacheBlocks: 512},
	{PrefillPerSecond: 3_000, StepBase: 30 * time.Millisecond, StepPerSequence: time.Millisecond, Slots: 8, ChunkTokens: 256, CacheBlocks: 256},
}

// Run runs the demo. It blocks until ctx is done or the duration has passed.
func Run(ctx context.Context, o Options) error {
	if o.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, o.Duration)
		defer cancel()
	}
	r, err := rig.Start(rig.Options{Engines: engineSpecs, Callers: callerAddress, Operators: operatorAddress, Peers: peerAddress})
	if err != nil {
		return fmt.Errorf("start the demo, which needs ports 8080 to 8082 on loopback: %w", err)
	}
	defer r.Close()
	fmt.Fprintf(o.Out, `tacktally demo: one instance, %d engines of different speeds, one plain service, one fake platform

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
