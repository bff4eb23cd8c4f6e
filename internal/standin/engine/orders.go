package engine

import (
	"maps"
	"net/http"
	"sync"

	"github.com/go-json-experiment/json"

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

// Taken returns the orders taken so far.
func (o *Orders) Taken() []orders.Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]orders.Order(nil), o.taken...)
}

// Loaded returns the versions loaded, by adapter.
func (o *Orders) Loaded() map[string]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.state.Adapters)
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
	if o.state.Adapters == nil {
		o.state.Adapters = map[string]string{}
	}
	o.state.Adapters[order.Adapter] = order.Version
}

// Forget drops what is loaded, as if the engine had begun anew.
func (o *Orders) Forget() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state = orders.State{}
}
