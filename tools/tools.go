//go:build tools

// Package tools pins the version of the linter that CI runs.
package tools

import _ "honnef.co/go/tools/cmd/staticcheck"
