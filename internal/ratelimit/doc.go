// Package ratelimit keeps the limits that upstreams advertise in their responses: how many requests per
// second an upstream accepts from all instances together.
//
// A limit belongs to one process of an upstream and applies until a response of that process advertises
// another limit or none. Responses may arrive out of order, so an observation is ordered by the time at
// which its attempt was sent: a response to an attempt that was sent before the current limit was received
// may lower the limit, but neither raise nor end it.
//
// Peers exchange updates with their age, since clocks differ. An age is off by the time that a message
// takes: of two updates of about the same age the lower limit applies, so that two instances don't
// alternate between them.
package ratelimit
