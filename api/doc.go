// Package api defines the public types of tacktally: the outcomes and reasons
// that every response carries, the headers that callers use, and the resources
// that operators declare. It imports nothing of the daemon, so that clients and
// tools can depend on it alone.
package api
