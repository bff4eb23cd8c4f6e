// Package view holds one instance's view of the routed configuration and of the list of upstreams,
// with the source of each piece of information and its age.
//
// The information comes from a Source and from peers. The configuration in force never goes back to
// an older version within a process, whatever the source publishes: the source may be restored from
// an older copy of itself and issue its revisions again (see Position). The age of the configuration
// runs from the moment at which the read that confirmed it was sent, by a clock that also advances
// while the machine is suspended, so that it can serve as a lease: see View.IsUsable.
package view
