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
	"slices"
	"time"

	"github.com/dghubble/sling"
	"github.com/go-json-experiment/json"
	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/config"
	"github.com/tacktally/tacktally/internal/telemetry"
)

const (
	// every is the time between two rounds.
	interval = time.Second
	// callTimeout bounds one call to an engine.
	callTimeout   = 2 * time.Second
	maxStateBytes = 1 << 20
)

// State is what an engine has loaded and does.
type State struct {
	Fencing int64    `json:"fencing"`
	Models  []string `json:"models"`
	// Adapters loaded, their versions by name.
	Adapters map[string]string `json:"adapters"`
	Role     api.EngineRole    `json:"role"`
}

// Kind of an order.
type Kind string

// The kinds.
const (
	LoadModel   Kind = "load-model"
	LoadAdapter Kind = "load-adapter"
	TakeRole    Kind = "take-role"
)

// Order makes an engine load a model or a version of an adapter, or take a role.
type Order struct {
	Fencing int64 `json:"fencing"`
	Kind    Kind  `json:"kind"`
	// Name of the model, adapter or role.
	Name string `json:"name"`
	// Version of an adapter.
	Version string `json:"version,omitzero"`
}

// missing returns the orders that bring an engine to what is declared of its set.
func missingOrders(set *config.EngineSet, s State) []Order {
	var out []Order
	if set.LoadModels {
		for _, m := range set.Models {
			if !slices.Contains(s.Models, m) {
				out = append(out, Order{Kind: LoadModel, Name: m})
			}
		}
	}
	for _, a := range set.Adapters {
		if s.Adapters[a.Name] != a.Version {
			out = append(out, Order{Kind: LoadAdapter, Name: a.Name, Version: a.Version})
		}
	}
	if set.Role != "" && set.Role != s.Role {
		out = append(out, Order{Kind: TakeRole, Name: string(set.Role)})
	}
	return out
}

// ordersAnything tells whether anything is declared that engines can lack.
func declaresOrders(set *config.EngineSet) bool {
	return set.LoadModels || len(set.Adapters) > 0 || set.Role != ""
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
	// SendsOrders tells whether this is the instance of the zone that does.
	SendsOrders() bool
	// ConfirmRevision returns a check that the revision is the platform's current one: it
	// reads it now, and the returned function fails after a pause.
	ConfirmRevision(ctx context.Context, revision int64) (stillCurrent func() error, err error)
}

// Reconciler gives the orders of one instance.
type Reconciler struct {
	instance Instance
	loads    *rate.Limiter
	http     *http.Client
	metrics  *telemetry.Metrics
	log      *log.Logger
}

// NewReconciler returns a giver that orders at most so many loads a minute, since the
// store of weights is rate-limited.
func NewReconciler(i Instance, loadsPerMinute int, m *telemetry.Metrics, l *log.Logger) *Reconciler {
	return &Reconciler{
		instance: i,
		loads:    rate.NewLimiter(rate.Limit(float64(loadsPerMinute)/60), loadsPerMinute),
		http:     &http.Client{Timeout: callTimeout},
		metrics:  m,
		log:      l,
	}
}

// Run gives orders until ctx ends.
func (r *Reconciler) Run(ctx context.Context) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		r.Reconcile(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Reconcile compares each engine with what is declared and orders what is missing.
func (r *Reconciler) Reconcile(ctx context.Context) {
	s := r.instance.Snapshot(ctx)
	if s == nil || !r.instance.SendsOrders() {
		return
	}
	r.metrics.Count("tacktally_order_rounds_total")
	for _, set := range s.EngineSets() {
		if !declaresOrders(set) {
			continue
		}
		for _, address := range r.instance.Engines(set.Name) {
			if err := r.reconcileEngine(ctx, s.Revision, set, address); err != nil {
				r.recordFailure(address, err)
			}
		}
	}
}

func (r *Reconciler) recordFailure(address string, err error) {
	r.metrics.Count("tacktally_order_failures_total")
	r.log.Warn().Str("event", "order_failed").Str("engine", address).Str("cause", err.Error()).Msg("")
}

// engine orders what one engine lacks.
func (r *Reconciler) reconcileEngine(ctx context.Context, revision int64, set *config.EngineSet, address string) error {
	state, err := r.readState(ctx, address)
	if err != nil {
		return err
	}
	for _, o := range missingOrders(set, state) {
		if o.Kind != TakeRole && !r.loads.Allow() {
			r.metrics.Count("tacktally_orders_deferred_total")
			return nil // the next rounds go on
		}
		o.Fencing = revision
		if err := r.sendOrder(ctx, set, address, o); err != nil {
			return err
		}
		r.metrics.Count("tacktally_orders_total")
		r.log.Info().Str("event", "ordered").Str("engine", address).Str("kind", string(o.Kind)).Str("name", o.Name).Str("version", o.Version).Int64("revision", revision).Msg("")
	}
	return nil
}

func (r *Reconciler) readState(ctx context.Context, address string) (s State, err error) {
	h, err := sling.New().Base("http://" + address).Get("/v1/state").Request()
	if err != nil {
		return s, err
	}
	response, err := r.http.Do(h.WithContext(ctx))
	if err != nil {
		return s, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return s, fmt.Errorf("engine %s answered %s when asked what is loaded", address, response.Status)
	}
	return s, json.UnmarshalRead(http.MaxBytesReader(nil, response.Body, maxStateBytes), &s)
}

func (r *Reconciler) sendOrder(ctx context.Context, set *config.EngineSet, address string, o Order) error {
	if !set.ChecksFencing {
		stillCurrent, err := r.instance.ConfirmRevision(ctx, o.Fencing)
		if err != nil {
			return err
		}
		if err := stillCurrent(); err != nil {
			return err
		}
	}
	h, err := sling.New().Base("http://" + address).Post("/v1/orders").BodyJSON(o).Request()
	if err != nil {
		return err
	}
	response, err := r.http.Do(h.WithContext(ctx))
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
