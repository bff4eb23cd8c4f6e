//go:build tools

// Package tools pins the versions of the linter that CI runs.
package tools

import _ "honnef.co/go/tools/cmd/staticcheck"
