// Package orders makes engines load what the configuration declares.
//
// What an engine must have loaded is a pure function of the accepted revision, and the revision is
// the fencing number. Two instances can therefore only send the same orders under the same number.
// One instance of an availability zone sends the orders: the one with the lowest address among the
// instances that it considers in service. Two instances may do so for a while. In this case:
//   - Engines that check the fencing number refuse the older order.
//   - Other engines get orders only from an instance that has just read from the platform that its
//     revision is the current one, and that wasn't paused since. The next round reads what these
//     engines have loaded, and corrects it.
//
// Protocol of the engines, as implemented by the fake in internal/standin/engine:
//
//	GET  /v1/state    returns what is loaded, as State
//	POST /v1/orders   takes an Order; responds 409 if its fencing number is old
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
	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/telemetry"
)

const (
	// interval is the time between two rounds.
	interval = time.Second
	// callTimeout bounds one call to an engine.
	callTimeout   = 2 * time.Second
	maxStateBytes = 1 << 20
)

// State is what an engine has loaded, and its role.
type State struct {
	Fencing int64    `json:"fencing"`
	Models  []string `json:"models"`
	// Adapters are the versions of the loaded adapters, by name.
	Adapters map[string]string `json:"adapters"`
	Role     api.EngineRole    `json:"role"`
}

// Kind is the kind of an order.
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
	// Name is the name of the model, adapter or role.
	Name string `json:"name"`
	// Version is the version of an adapter; empty for other kinds.
	Version string `json:"version,omitzero"`
}

// missingOrders returns the orders that bring an engine to the state declared for its set.
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

// declaresOrders reports whether the set declares anything for which orders may be needed.
func declaresOrders(set *config.EngineSet) bool {
	return set.LoadModels || len(set.Adapters) > 0 || set.Role != ""
}

// Errors of an order.
var (
	// ErrFenced: the engine has received an order with a higher fencing number.
	ErrFenced = errors.New("the engine refused an old fencing number; a newer revision is current")
	// ErrNotCurrent: the platform doesn't confirm that the revision is the current one.
	ErrNotCurrent = errors.New("the platform doesn't confirm the revision; engines that don't check fencing numbers get no orders until it does")
)

// Instance is the daemon as this package uses it.
type Instance interface {
	// Snapshot returns the current configuration. After a pause it blocks until the configuration
	// has been refreshed or the refresh timed out.
	Snapshot(ctx context.Context) *config.Snapshot
	// Engines returns the addresses of the live engines of a set in this availability zone.
	Engines(set string) []string
	// SendsOrders reports whether this instance sends the orders in its zone.
	SendsOrders() bool
	// ConfirmRevision reads from the platform whether the revision is the current one. The returned
	// function fails if the process was paused since then.
	ConfirmRevision(ctx context.Context, revision int64) (stillCurrent func() error, err error)
}

// Reconciler sends the orders of one instance.
type Reconciler struct {
	instance Instance
	loads    *rate.Limiter
	http     *http.Client
	metrics  *telemetry.Metrics
	log      *log.Logger
}

// NewReconciler returns a reconciler that orders at most loadsPerMinute loads per minute, since the
// store of weights is rate-limited.
func NewReconciler(i Instance, loadsPerMinute int, m *telemetry.Metrics, l *log.Logger) *Reconciler {
	return &Reconciler{
		instance: i,
		loads:    rate.NewLimiter(rate.Limit(float64(loadsPerMinute)/60), loadsPerMinute),
		http:     &http.Client{Timeout: callTimeout, Transport: exchange.Strict(http.DefaultTransport)},
		metrics:  m,
		log:      l,
	}
}

// Run sends orders in each interval until ctx is done.
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

// Reconcile compares the state of each engine with the declared state and orders what is missing.
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
	r.log.Warn().Str("event", "order_failed").Str("engine", address).Str("cause", err.Error()).Msg("order failed; the next round retries")
}

// reconcileEngine sends the missing orders to one engine.
func (r *Reconciler) reconcileEngine(ctx context.Context, revision int64, set *config.EngineSet, address string) error {
	state, err := r.readState(ctx, address)
	if err != nil {
		return err
	}
	for _, o := range missingOrders(set, state) {
		if o.Kind != TakeRole && !r.loads.Allow() {
			r.metrics.Count("tacktally_orders_deferred_total")
			return nil // the next rounds continue
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
		return s, fmt.Errorf("read state of engine %s: status %s", address, response.Status)
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
		return fmt.Errorf("send order to engine %s: status %s", address, response.Status)
	}
}
