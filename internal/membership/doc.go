// Package membership tracks which instances a fleet has, which of them are reachable, and with which
// of them one instance keeps links. It does no network I/O: package peer reports to it the state of
// links and the updates that peers send, and opens the links that Overlay.WantedLinks returns.
//
// The strongest few instances of each availability zone are its hubs. Each instance computes them on
// its own from the members it knows. All instances of a zone link to its hubs, and the hubs of all
// zones link to each other. So an instance has a few links, and a hub about as many as its zone has
// instances.
//
// Hubs attest the instances that are linked to them: to the other hubs, and through these, two steps
// in all, to every instance. An instance is reachable while any peer from which updates are received
// attests it. What a peer has sent counts while the link to it is up, so records need no age of their
// own: when a zone is partitioned, the links between hubs end, and everything received through them
// is dropped.
package membership
