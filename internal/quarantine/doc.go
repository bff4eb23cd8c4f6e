// Package quarantine tells requests that crash the upstreams that run them from those that only ran
// beside one, and keeps the former from upstreams for a while.
//
// Evidence is crashes: which requests were at an upstream's process when it ended, told apart by what
// they ask for (Key). A request is held to be the cause once it was there at several crashes that
// nothing else explains as well. One that has been answered anywhere is none, and a crash that has its
// cause speaks against nobody else.
//
// A Book is one instance's evidence. Instances tell each other (News); what they tell is merged
// without order, so that all come to the same belief whoever saw what, and none has to be asked.
package quarantine
