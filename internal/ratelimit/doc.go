// Package ratelimit keeps the limits that upstreams name in their answers: the requests a second that one takes
// from all instances together.
//
// A limit belongs to one process of an upstream and holds until an answer of it names another figure or none.
// Answers overtake each other, so that an observation counts by when its attempt was sent: an answer to an attempt
// from before the limit was heard may lower it, but neither raise nor end it.
//
// Peers exchange updates with their age, since clocks differ. Ages are off by what a message takes: of two updates that
// are about as old the lower limit counts, so that two instances don't flap between them.
package ratelimit
