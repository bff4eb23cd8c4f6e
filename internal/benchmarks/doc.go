// Package benchmarks holds the benchmarks that span packages: the cost that the daemon adds to a request,
// and the time until a configuration takes effect at every daemon. It contains only tests.
package benchmarks
