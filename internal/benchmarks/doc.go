// Package benchmarks holds the benchmarks that span packages: the cost that the
// daemon adds to a request, and the slopes that docs/CAPACITY.md is worked out
// from. It has no code but tests.
package benchmarks
