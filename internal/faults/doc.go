// Package faults holds the fault injection tests: fleets of daemons that run as separate processes,
// fake upstreams that hold their responses until a test releases them, and the fault matrix. It
// contains only tests.
package faults
