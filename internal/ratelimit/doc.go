// Package ratelimit keeps the limits that upstreams name in their answers: the requests a second that one takes
// from all instances together.
//
// A limit is the word of one process of an upstream and holds until an answer of it names another figure or none.
// Answers overtake each other, so that a word counts by when its attempt was sent: an answer to an attempt from
// before the limit was heard may lower it, but neither raise nor end it.
//
// Peers tell each other what they have heard, with its age, since clocks differ. Ages are off by what a message
// takes: of two words that are about as old the lower limit counts, so that instances don't take turns with them.
package ratelimit
