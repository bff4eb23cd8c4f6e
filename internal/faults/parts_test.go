package faults

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/config"
)

// The target number of organisations exceeds the size of one configuration value, so that they are
// published in parts. They take effect at every instance, also at one that only its peers reach. A
// revision whose part isn't available yet takes effect once it is.
func TestConfigurationPartsTakeEffectEverywhere(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const organisations, parts = 12_000, 16
	f := newFleet(t, "fort", "fort")
	f.daemons[1].platformRelay.Partition("")
	var refs []string
	publish := func(n int, salt string, late bool) {
		var list []string
		for i := n; i < organisations; i += parts {
			list = append(list, fmt.Sprintf(`{"metadata":{"name":"o-%d"},"spec":{"apiKeyHashes":[%q],"tiers":["desk"]}}`, i, config.HashAPIKey(fmt.Sprint(salt, i))))
		}
		content := []byte(`{"organisations":[` + strings.Join(list, ",") + `]}`)
		key := fmt.Sprintf("part-%d-%s", n, salt)
		ref := fmt.Sprintf(`{"key":%q,"sha256":%q}`, key, config.HashPart(content))
		if n < len(refs) {
			refs[n] = ref
		} else {
			refs = append(refs, ref)
		}
		if !late {
			f.platform.PublishPart(key, content)
			return
		}
		f.platform.Publish(3, f.documentWithParts("three", refs))
		f.eventually("the missing part is reported", func() bool {
			return f.daemons[0].metric("tacktally_config_parts_missing_total") > 0
		})
		is.Equal(f.daemons[0].status().Revision, int64(2))
		f.platform.PublishPart(key, content)
	}
	for n := range parts {
		publish(n, "a", false)
	}
	f.platform.Publish(2, f.documentWithParts("two", refs))
	inForce := func(revision int64) {
		for _, p := range f.daemons {
			f.eventually("the revision is in force", func() bool { return p.status().Revision == revision })
		}
	}
	inForce(2)
	for _, p := range f.daemons {
		is.Equal(p.send(call{path: lookupPath, body: "q", apiKey: "a11999"}).outcome, api.Answered)
	}
	publish(7, "b", true)
	inForce(3)
	for _, p := range f.daemons {
		is.Equal(p.send(call{path: lookupPath, body: "q", apiKey: "b7"}).outcome, api.Answered)
		is.Equal(p.send(call{path: lookupPath, body: "q", apiKey: "a7"}).problem.Reason, api.ReasonUnknownAPIKey)
	}
}

// documentWithParts returns the configuration with references to parts.
func (f *fleet) documentWithParts(note string, refs []string) []byte {
	return []byte(strings.Replace(string(document(note)), "{", `{"parts":[`+strings.Join(refs, ",")+`],`, 1))
}
