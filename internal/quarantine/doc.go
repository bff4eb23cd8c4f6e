// Package quarantine identifies requests that crash the upstreams that run them, and keeps them
// from upstreams for a while.
//
// The evidence is crashes: which requests were at an upstream's process when it terminated,
// identified by their content (Key). A request is believed to be the cause if it was at two crashes
// that no other request explains as well, or at three crashes; a crash counts half if the response
// had begun. A request that was answered by any upstream is not a cause, and a crash with a known
// cause is no evidence against other requests.
//
// A segment of prompts may crash upstreams, whatever else a request holds, so that no request is
// ever at two crashes. Segments are therefore suspected as well: a set of segments is quarantined if
// requests of different content that have all of it were at three crashes. A segment in a prompt that
// was answered completely since is no cause. Segments that always come together can't be told apart;
// the set applies to requests that have all of them, until a response clears one.
//
// A Registry holds one instance's evidence. Instances send each other an Update; merging is
// independent of the order of updates, so that all instances reach the same verdicts without
// querying each other, whichever of them saw the crashes.
package quarantine
