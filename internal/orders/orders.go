// Package orders makes engines load what the configuration declares.
//
// What an engine should have loaded is a pure function of the accepted revision,
// and the revision is the fencing number, so two instances can only give the same
// order under the same number. One instance of an availability zone gives them:
// the one with the lowest address that it believes in service. Two may believe so
// for a while; then
//
//   - engines that check the fencing number refuse the older order;
//   - engines that don't are ordered only by an instance that has just read from
//     the platform that its revision is the current one and wasn't paused since,
//     and what they have is read back and put right in the next round.
//
// The engines' protocol, as the stand-in in internal/standin/engine speaks it:
//
//	GET  /v1/state    what is loaded, as State
//	POST /v1/orders   an Order; 409 when its fencing number is old
package orders

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/go-json-experiment/json"
	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"github.com/tacktally/tacktally/internal/config"
	"github.com/tacktally/tacktally/internal/telemetry"
)

const (
	// every is the time between two rounds.
	every = time.Second
	// callTimeout bounds one call to an engine.
	callTimeout   = 2 * time.Second
	maxStateBytes = 1 << 20
)

// State is what an engine has loaded: versions by adapter.
type State struct {
	Fencing  int64             `json:"fencing"`
	Adapters map[string]string `json:"adapters"`
}

// Order makes an engine load a version of an adapter.
type Order struct {
	Fencing int64  `json:"fencing"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
}

// Errors of an order.
var (
	// ErrFenced: the engine has had an order with a higher number.
	ErrFenced = errors.New("the engine refused an old fencing number; a newer revision is in force")
	// ErrNotCurrent: the platform doesn't confirm the revision now.
	ErrNotCurrent = errors.New("the platform doesn't confirm the revision; engines that don't check fencing get no orders until it does")
)

// Instance is what the package needs of the daemon.
type Instance interface {
	// Snapshot returns the configuration in force, after a pause only once it was
	// read anew.
	Snapshot(ctx context.Context) *config.Snapshot
	// Engines returns the live engines of a set in this availability zone.
	Engines(set string) []string
	// GivesOrders tells whether this is the instance of the zone that does.
	GivesOrders() bool
	// Confirm returns a check that the revision is the platform's current one: it
	// reads it now, and the returned function fails after a pause.
	Confirm(ctx context.Context, revision int64) (stillFresh func() error, err error)
}

// Giver gives the orders of one instance.
type Giver struct {
	instance Instance
	loads    *rate.Limiter
	http     *http.Client
	metrics  *telemetry.Metrics
	log      *log.Logger
}

// NewGiver returns a giver that orders at most so many loads a minute, since the
// store of weights is rate-limited.
func NewGiver(i Instance, loadsPerMinute int, m *telemetry.Metrics, l *log.Logger) *Giver {
	return &Giver{
		instance: i,
		loads:    rate.NewLimiter(rate.Limit(float64(loadsPerMinute)/60), loadsPerMinute),
		http:     &http.Client{Timeout: callTimeout},
		metrics:  m,
		log:      l,
	}
}

// Run gives orders until ctx ends.
func (g *Giver) Run(ctx context.Context) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		g.Round(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Round compares each engine with what is declared and orders what is missing.
func (g *Giver) Round(ctx context.Context) {
	s := g.instance.Snapshot(ctx)
	if s == nil || !g.instance.GivesOrders() {
		return
	}
	for _, set := range s.EngineSets() {
		if len(set.Adapters) == 0 {
			continue
		}
		for _, address := range g.instance.Engines(set.Name) {
			if err := g.engine(ctx, s.Revision, set, address); err != nil {
				g.failed(address, err)
			}
		}
	}
}

func (g *Giver) failed(address string, err error) {
	g.metrics.Count("tacktally_order_failures_total")
	g.log.Warn().Str("event", "order_failed").Str("engine", address).Str("cause", err.Error()).Msg("")
}

// engine orders what one engine lacks.
func (g *Giver) engine(ctx context.Context, revision int64, set *config.EngineSet, address string) error {
	state, err := g.read(ctx, address)
	if err != nil {
		return err
	}
	for _, a := range set.Adapters {
		if state.Adapters[a.Name] == a.Version {
			continue
		}
		if !g.loads.Allow() {
			g.metrics.Count("tacktally_orders_deferred_total")
			return nil // the next rounds go on
		}
		o := Order{Fencing: revision, Adapter: a.Name, Version: a.Version}
		if err := g.order(ctx, set, address, o); err != nil {
			return err
		}
		g.metrics.Count("tacktally_orders_total")
		g.log.Info().Str("event", "ordered").Str("engine", address).Str("adapter", a.Name).Str("version", a.Version).Int64("revision", revision).Msg("")
	}
	return nil
}

func (g *Giver) read(ctx context.Context, address string) (s State, err error) {
	h, err := sling.New().Base("http://" + address).Get("/v1/state").Request()
	if err != nil {
		return s, err
	}
	response, err := g.http.Do(h.WithContext(ctx))
	if err != nil {
		return s, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return s, fmt.Errorf("engine %s answered %s when asked what is loaded", address, response.Status)
	}
	return s, json.UnmarshalRead(http.MaxBytesReader(nil, response.Body, maxStateBytes), &s)
}

func (g *Giver) order(ctx context.Context, set *config.EngineSet, address string, o Order) error {
	if !set.ChecksFencing {
		stillFresh, err := g.instance.Confirm(ctx, o.Fencing)
		if err != nil {
			return err
		}
		if err := stillFresh(); err != nil {
			return err
		}
	}
	h, err := sling.New().Base("http://" + address).Post("/v1/orders").BodyJSON(o).Request()
	if err != nil {
		return err
	}
	response, err := g.http.Do(h.WithContext(ctx))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return nil
	case http.StatusConflict:
		return ErrFenced
	default:
		return fmt.Errorf("engine %s answered %s to an order", address, response.Status)
	}
}
