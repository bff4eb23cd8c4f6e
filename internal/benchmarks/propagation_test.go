package benchmarks

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/config"
	"github.com/tacktally/tacktally/internal/standin/rig"
)

// BenchmarkPropagation measures the time from the publication of a configuration at the platform until
// it is in force at every daemon.
func BenchmarkPropagation(b *testing.B) {
	for _, daemons := range []int{3, 7, 14} {
		for _, organisations := range []int{5, 4000} {
			b.Run(fmt.Sprintf("daemons=%d/organisations=%d", daemons, organisations), func(b *testing.B) {
				r, err := rig.Start(rig.Options{Daemons: daemons})
				if err != nil {
					b.Fatal(err)
				}
				defer r.Close()
				content := documentOf(b, organisations)
				revision := int64(1)
				for b.Loop() {
					revision++
					r.Platform.Publish(revision, content)
					for _, d := range r.Daemons {
						for d.Status().Revision < revision {
							<-time.After(100 * time.Microsecond)
						}
					}
				}
			})
		}
	}
}

// documentOf returns the harness's configuration with the given number of further organisations.
func documentOf(b *testing.B, organisations int) []byte {
	b.Helper()
	d := rig.Document()
	for i := range organisations {
		d.Organisations = append(d.Organisations, api.Organisation{
			Metadata: api.Metadata{Name: fmt.Sprint("o", i)},
			Spec:     api.OrganisationSpec{APIKeyHashes: []string{config.HashAPIKey(fmt.Sprint(i))}, Tiers: []string{rig.TierNormal}},
		})
	}
	content, err := json.Marshal(d)
	if err != nil {
		b.Fatal(err)
	}
	return content
}
