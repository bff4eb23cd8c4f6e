// Package demo runs a daemon with stand-ins in one process on loopback, and sends
// traffic of three tiers through it.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/config"
	"github.com/tacktally/tacktally/internal/daemon"
	"github.com/tacktally/tacktally/internal/platform"
	"github.com/tacktally/tacktally/internal/settings"
	"github.com/tacktally/tacktally/internal/standin/engine"
	standinplatform "github.com/tacktally/tacktally/internal/standin/platform"
	"github.com/tacktally/tacktally/internal/standin/service"
)

// Names of the demo's resources.
const (
	zone        = "bole"
	model       = "move-planner"
	engineSet   = "booking-desk"
	bookings    = "bookings"
	apiKey      = "demo-key"
	callerAt    = "127.0.0.1:8080"
	operatorAt  = "127.0.0.1:8081"
	peerAt      = "127.0.0.1:8082"
	tierUrgent  = "live"
	tierNormal  = "desk"
	tierBatch   = "tagging"
	reportEvery = 2 * time.Second
)

// Options of a demo.
type Options struct {
	Out io.Writer
	// Duration after which it ends; 0 runs until ctx ends.
	Duration time.Duration
	// Rate is requests a second.
	Rate float64
}

// specs are three unlike engines.
var specs = []engine.Spec{
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
	w := &world{}
	defer w.close()
	if err := w.start(); err != nil {
		return err
	}
	d, err := daemon.New(w.settings(), io.Discard)
	if err != nil {
		return fmt.Errorf("the demo needs ports 8080 to 8082 on loopback: %w", err)
	}
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	fmt.Fprintf(o.Out, `tacktally demo: one daemon, %d unlike engines, one plain service, one stand-in platform

callers    http://%s
operators  http://%s

Try, in another terminal:
  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Tacktally-Tier: %s' \
    -d '{"model":"%s","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"two sofas and a piano"}]}'
  go run ./cmd/tacktally status

`, len(specs), callerAt, operatorAt, callerAt, apiKey, tierUrgent, model)
	t := newTraffic(o, "http://"+callerAt)
	t.run(ctx)
	return <-ended
}

// world is the stand-ins.
type world struct {
	platform  *standinplatform.Service
	url       string
	servers   []*http.Server
	engines   []*engine.Server
	instances []platform.Instance
}

func (w *world) start() error {
	for _, s := range specs {
		e := engine.NewServer(s)
		w.engines = append(w.engines, e)
		address, err := w.serve(e)
		if err != nil {
			return err
		}
		w.instances = append(w.instances, platform.Instance{Address: address, Zone: zone, Set: engineSet, State: platform.Live})
	}
	address, err := w.serve(service.New())
	if err != nil {
		return err
	}
	w.instances = append(w.instances,
		platform.Instance{Address: address, Zone: zone, Set: bookings, State: platform.Live},
		platform.Instance{Address: peerAt, Zone: zone, State: platform.Live})
	w.platform = standinplatform.New()
	content, err := json.Marshal(Document())
	if err != nil {
		return err
	}
	w.platform.Publish(1, content)
	w.platform.SetInstances(w.instances)
	address, err = w.serve(w.platform)
	w.url = "http://" + address
	return err
}

func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("a stand-in can't listen on loopback: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	w.servers = append(w.servers, s)
	go s.Serve(l) //nolint:errcheck // ends with close
	return l.Addr().String(), nil
}

func (w *world) close() {
	for _, s := range w.servers {
		s.Close()
	}
	for _, e := range w.engines {
		e.Close()
	}
}

func (w *world) settings() *settings.Settings {
	s := &settings.Settings{
		Zone:      zone,
		Callers:   settings.Callers{Address: callerAt},
		Operators: settings.Operators{Address: operatorAt},
		Peers:     settings.Peers{Address: peerAt},
		Platform:  settings.Platform{URL: w.url},
	}
	s.Provision()
	return s
}

// Document is the configuration that the demo publishes.
func Document() *api.Document {
	tier := func(name string, rank, timeout, first int) api.Tier {
		return api.Tier{Metadata: api.Metadata{Name: name}, Spec: api.TierSpec{Rank: rank, TimeoutMillis: timeout, FirstTokenMillis: first}}
	}
	return &api.Document{
		Organisations: []api.Organisation{{
			Metadata: api.Metadata{Name: "gebremedhin"},
			Spec: api.OrganisationSpec{
				APIKeyHashes: []string{config.HashAPIKey(apiKey)},
				Tiers:        []string{tierNormal, tierUrgent, tierBatch},
			},
		}},
		Tiers: []api.Tier{
			tier(tierUrgent, 0, 10_000, 1100),
			tier(tierNormal, 1, 30_000, 4000),
			tier(tierBatch, 2, 60_000, 0),
		},
		EngineSets: []api.EngineSet{{
			Metadata: api.Metadata{Name: engineSet},
			Spec:     api.EngineSetSpec{Models: []string{model}, MaxPromptTokens: 32_000, MaxOutputTokens: 512},
		}},
		Services: []api.Service{{
			Metadata: api.Metadata{Name: bookings},
			Spec:     api.ServiceSpec{NonIdempotent: []string{"POST /confirm"}},
		}},
	}
}
