package api

import (
	"go/ast"
	"go/parser"
	"go/token"
	"slices"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// A constant of type Reason that is in neither list would have no counter.
func TestEveryReasonIsListed(t *testing.T) {
	is := is.New(t)
	file, err := parser.ParseFile(token.NewFileSet(), "outcome.go", nil, 0)
	is.NoErr(err)
	listed := slices.Concat(RefusalReasons, RetryReasons)
	found := 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if kind, ok := spec.Type.(*ast.Ident); !ok || kind.Name != "Reason" {
			return true
		}
		text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		is.NoErr(err)
		if text != "" {
			found++
			is.True(slices.Contains(listed, Reason(text))) // the reason is in a list
		}
		return true
	})
	is.Equal(found, len(listed))
}

func TestRetryAfterRoundsUp(t *testing.T) {
	is := is.New(t)
	p := Refuse(ReasonQueueFull, "full")
	is.Equal(p.WithRetryAfter(1).RetryAfterSeconds, 1)
	is.Equal(p.WithRetryAfter(1_500_000_000).RetryAfterSeconds, 2)
	is.Equal(p.RetryAfterSeconds, 0) // the original is unchanged
}
