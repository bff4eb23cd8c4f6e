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

// Orders is what an engine has loaded at others' orders. Safe for concurrent use.
type Orders struct {
	mu     sync.Mutex
	checks bool
	state  orders.State
	taken  []orders.Order
}

// SetChecksFencing makes the engine refuse orders with an old number, or take them.
func (o *Orders) SetChecksFencing(checks bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checks = checks
}

// Accepted returns the orders taken so far.
func (o *Orders) Accepted() []orders.Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]orders.Order(nil), o.taken...)
}

// State returns what is loaded, and the role.
func (o *Orders) State() orders.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.state
	s.Adapters = maps.Clone(s.Adapters)
	s.Models = slices.Clone(s.Models)
	return s
}

// register adds the calls of the protocol.
func (o *Orders) register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/state", o.show)
	mux.HandleFunc("POST /v1/orders", o.take)
}

func (o *Orders) show(w http.ResponseWriter, _ *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.MarshalWrite(w, o.state)
}

func (o *Orders) take(w http.ResponseWriter, h *http.Request) {
	var order orders.Order
	if err := json.UnmarshalRead(h.Body, &order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checks && order.Fencing < o.state.Fencing {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	o.taken = append(o.taken, order)
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

// Forget drops what is loaded, as if the engine had begun anew.
func (o *Orders) Forget() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state = orders.State{}
}
