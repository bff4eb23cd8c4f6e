// Package reach records which upstreams this instance reaches over its own network path.
//
// A connection that can't be established may have two causes: the upstream is down, or the path
// between this instance and the upstream is. One instance alone can't tell them apart. A Tracker
// holds what this instance has observed, by upstream.
package reach
