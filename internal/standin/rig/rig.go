// Package rig is a harness that runs daemons, fake upstreams and a fake platform in one process on
// loopback, for the demo, the benchmarks and the tests of clients.
package rig

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
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

// Names of the resources in Document.
const (
	Zone         = "bole"
	Model        = "move-planner"
	EngineSet    = "booking-desk"
	Bookings     = "bookings"
	Organisation = "gebremedhin"
	APIKey       = "demo-key"
	TierUrgent   = "live"
	TierNormal   = "desk"
	TierBatch    = "tagging"
)

const (
	anyPort           = "127.0.0.1:0"
	readyPollInterval = 5 * time.Millisecond
	readyTimeout      = 10 * time.Second
)

// Options configure a harness.
type Options struct {
	// Engines are the engines to run.
	Engines []engine.Spec
	// Daemons is the number of daemons to run. Default 1.
	Daemons int
	// Callers, Operators and Peers are the listen addresses of the first daemon. All three are set or
	// none; by default free ports are used.
	Callers, Operators, Peers string
	// Tune modifies the settings of each daemon. May be nil.
	Tune func(*settings.Settings)
	// Log receives the log lines of the daemons. By default they are discarded.
	Log io.Writer
	// Document is the configuration to publish. Default Document().
	Document *api.Document
}

// Harness holds the running daemons and fakes.
type Harness struct {
	Platform *standinplatform.Service
	Engines  []*engine.Server
	// EngineAddresses are the addresses of Engines, in the same order.
	EngineAddresses []string
	Service         *service.Service
	Daemons         []*daemon.Daemon

	options   Options
	servers   []*http.Server
	instances []platform.Instance
	cancel    context.CancelFunc
	running   sync.WaitGroup
}

// Start starts the fakes and the daemons, and blocks until the daemons are ready.
func Start(o Options) (*Harness, error) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Harness{options: o, Platform: standinplatform.New(), Service: service.New(), cancel: cancel}
	if err := r.start(ctx); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func (r *Harness) start(ctx context.Context) error {
	for _, s := range r.options.Engines {
		e := engine.NewServer(s)
		r.Engines = append(r.Engines, e)
		address, err := r.serve(e)
		if err != nil {
			return err
		}
		r.EngineAddresses = append(r.EngineAddresses, address)
		r.instances = append(r.instances, platform.Instance{Address: address, Zone: Zone, Set: EngineSet, State: platform.Live})
	}
	address, err := r.serve(r.Service)
	if err != nil {
		return err
	}
	r.instances = append(r.instances, platform.Instance{Address: address, Zone: Zone, Set: Bookings, State: platform.Live})
	platformAddress, err := r.serve(r.Platform)
	if err != nil {
		return err
	}
	if err := r.publish(); err != nil {
		return err
	}
	for i := range max(r.options.Daemons, 1) {
		if err := r.startDaemon(ctx, i, "http://"+platformAddress); err != nil {
			return err
		}
	}
	r.Platform.SetInstances(r.instances)
	return r.waitReady()
}

func (r *Harness) publish() error {
	d := r.options.Document
	if d == nil {
		d = Document()
	}
	content, err := json.Marshal(d)
	if err != nil {
		return fmt.Errorf("encode the configuration document: %w", err)
	}
	r.Platform.Publish(1, content)
	return nil
}

func (r *Harness) startDaemon(ctx context.Context, n int, platformURL string) error {
	s := &settings.Settings{
		Zone:      Zone,
		Callers:   settings.Callers{Address: anyPort},
		Operators: settings.Operators{Address: anyPort},
		Peers:     settings.Peers{Address: anyPort},
		Platform:  settings.Platform{URL: platformURL},
	}
	if n == 0 && r.options.Callers != "" {
		s.Callers.Address = r.options.Callers
		s.Operators.Address = r.options.Operators
		s.Peers.Address = r.options.Peers
	}
	s.Provision()
	if r.options.Tune != nil {
		r.options.Tune(s)
	}
	log := r.options.Log
	if log == nil {
		log = io.Discard
	}
	d, err := daemon.New(s, log)
	if err != nil {
		return err
	}
	r.Daemons = append(r.Daemons, d)
	r.instances = append(r.instances, platform.Instance{Address: d.Address(), Zone: Zone, State: platform.Live})
	r.running.Go(func() { d.Run(ctx) })
	return nil
}

func (r *Harness) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", fmt.Errorf("listen on loopback for a fake: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	r.servers = append(r.servers, s)
	go s.Serve(l) //nolint:errcheck // ends with Close
	return l.Addr().String(), nil
}

// waitReady blocks until every daemon has the document and the instance list.
func (r *Harness) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, d := range r.Daemons {
		for d.Status().ListVersion == 0 || d.Status().Revision == 0 {
			if time.Now().After(deadline) {
				return errors.New("daemon didn't become ready within the timeout")
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

// URL returns the base URL for callers of daemon n.
func (r *Harness) URL(n int) string { return "http://" + r.Daemons[n].CallerAddress() }

// Close shuts the daemons down gracefully, then stops the fakes.
func (r *Harness) Close() {
	r.cancel()
	r.running.Wait()
	for _, s := range r.servers {
		s.Close()
	}
	for _, e := range r.Engines {
		e.Close()
	}
}

// Document returns the configuration that a harness publishes by default.
func Document() *api.Document {
	tier := func(name string, rank, timeout, first int) api.Tier {
		return api.Tier{Metadata: api.Metadata{Name: name}, Spec: api.TierSpec{Rank: rank, TimeoutMillis: timeout, FirstTokenMillis: first}}
	}
	return &api.Document{
		Organisations: []api.Organisation{{
			Metadata: api.Metadata{Name: Organisation},
			Spec: api.OrganisationSpec{
				APIKeyHashes: []string{config.HashAPIKey(APIKey)},
				Tiers:        []string{TierNormal, TierUrgent, TierBatch},
			},
		}},
		Tiers: []api.Tier{
			tier(TierUrgent, 0, 10_000, 1100),
			tier(TierNormal, 1, 30_000, 4000),
			tier(TierBatch, 2, 60_000, 0),
		},
		EngineSets: []api.EngineSet{{
			Metadata: api.Metadata{Name: EngineSet},
			Spec:     api.EngineSetSpec{Models: []string{Model}, MaxPromptTokens: 32_000, MaxOutputTokens: 512},
		}},
		Services: []api.Service{{
			Metadata: api.Metadata{Name: Bookings},
			Spec:     api.ServiceSpec{NonIdempotent: []string{"POST /confirm"}},
		}},
	}
}
