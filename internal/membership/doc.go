// Package membership knows which instances a fleet has, which of them are within reach, and
// with which of them one instance keeps links. It needs no network: the peer package hands it
// what links show and what peers tell, and carries out what it wants.
//
// A few instances of each availability zone, the strongest, are its hubs. Everybody works out
// alone who they are. All instances of a zone link to its hubs, and the hubs of all zones to
// each other, so an instance has a few links and a hub about as many as its zone has
// instances. Hubs vouch for the instances that are linked to them: to the other hubs, and by
// way of these, two steps in all, to everybody. An instance is within reach as long as
// anybody heard from vouches for it. What a peer has told counts while its link lives, so news
// needs no age of its own: when a zone is cut off, the links between hubs end and all that
// came by them goes with them.
package membership
