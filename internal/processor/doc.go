// Package processor measures how much of its processor time this process uses, and decides whether there is enough for
// the requests of another connection.
//
// A process may have less than a core: the kernel stops it once it has used up its quota of a period, for the rest
// of the period. What waits meanwhile is late through no fault of what it waits for. docs/design/admission.md says
// how connections are admitted.
package processor
