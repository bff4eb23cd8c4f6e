// Package fleet holds the upstreams of all services as one instance uses them, and decides
// together with the other instances which request runs on which upstream, and how much
// organisations may use.
//
// Each shard of a service's upstreams is scheduled by one instance, its owner, and each
// organisation's token bucket is kept by one; every instance computes the owner on its own
// (owners.go). Fleet.Acquire requests a slot from the owner, or decides locally (slots.go); the
// Grant that it returns is the right to send one request (grants.go). Quotas.Take does the same
// for tokens (quotas.go). Peers call Fleet.ServeSlot, Quotas.ServeTake and Quotas.ServeReturn.
//
// The package doesn't know the content of a request nor how it is sent; package proxy does.
package fleet
