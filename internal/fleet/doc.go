// Package fleet holds the upstreams of all services as one instance uses them, and decides
// together with the other instances which request runs where, and what organisations may use.
//
// Each shard of a service's upstreams is scheduled by one instance, its owner, and each
// organisation's bucket of tokens is kept by one; every instance works out by itself who that
// is (owners.go). Fleet.Acquire asks the owner for a slot, or decides itself (slots.go); the
// Lease that it returns is the right to send one request (leases.go). Quotas.Take does the
// same for tokens (quotas.go). Peers ask by Fleet.ServeSlot and Quotas.Serve.
//
// It doesn't know what a request says nor how it is sent; package proxy does.
package fleet
