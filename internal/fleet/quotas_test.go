package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/routing"
)

// What an organisation may use beyond its quota is granted in part; the rest is for starts
// and changes of who keeps its bucket.
func TestHowMuchOfTheAllowanceIsGranted(t *testing.T) {
	allowed := Allowance{Share: 0.25, Tokens: 160_000, Window: 8 * time.Second}
	for name, c := range map[string]struct {
		allowed      Allowance
		organisation routing.Organisation
		rate         float64
	}{
		"tokens":         {allowed, routing.Organisation{TokensPerSecond: 40_000}, 55_000},
		"requests":       {allowed, routing.Organisation{TokensPerSecond: 40, CountsRequests: true}, 45},
		"none":           {Allowance{}, routing.Organisation{TokensPerSecond: 40_000}, 40_000},
		"a share alone":  {Allowance{Share: 0.5}, routing.Organisation{TokensPerSecond: 100}, 125},
		"without window": {Allowance{Tokens: 99}, routing.Organisation{TokensPerSecond: 100}, 100},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(c.allowed.raise(&c.organisation), c.rate)
		})
	}
}
