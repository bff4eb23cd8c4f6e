package engine

import (
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/go-json-experiment/json"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/orders"
)

// Orders accepts the orders of instances and holds the state that results from them: the loaded models
// and adapters, and the role. Safe for concurrent use.
type Orders struct {
	mu            sync.Mutex
	checksFencing bool
	state         orders.State
	accepted      []orders.Order
}

// SetChecksFencing sets whether the engine refuses orders whose fencing number is lower than the
// highest one that it has accepted.
func (o *Orders) SetChecksFencing(checks bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checksFencing = checks
}

// Accepted returns the orders accepted so far.
func (o *Orders) Accepted() []orders.Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]orders.Order(nil), o.accepted...)
}

// State returns a copy of the current state.
func (o *Orders) State() orders.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.state
	s.Adapters = maps.Clone(s.Adapters)
	s.Models = slices.Clone(s.Models)
	return s
}

// register adds the handlers of the orders protocol.
func (o *Orders) register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/state", o.serveState)
	mux.HandleFunc("POST /v1/orders", o.accept)
}

func (o *Orders) serveState(w http.ResponseWriter, _ *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.MarshalWrite(w, o.state)
}

func (o *Orders) accept(w http.ResponseWriter, h *http.Request) {
	var order orders.Order
	if err := json.UnmarshalRead(h.Body, &order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checksFencing && order.Fencing < o.state.Fencing {
		http.Error(w, "stale fencing number", http.StatusConflict)
		return
	}
	o.accepted = append(o.accepted, order)
	o.state.Fencing = max(o.state.Fencing, order.Fencing)
	switch order.Kind {
	case orders.LoadModel:
		o.state.Models = append(o.state.Models, order.Name)
	case orders.TakeRole:
		o.state.Role = api.EngineRole(order.Name)
	case orders.LoadAdapter:
		if o.state.Adapters == nil {
			o.state.Adapters = map[string]string{}
		}
		o.state.Adapters[order.Name] = order.Version
	}
}

// Reset clears the state, as a restart of the engine does.
func (o *Orders) Reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state = orders.State{}
}
