package faults

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/config"
)

// The organisations of the target don't fit one value. They are published in parts,
// come into force everywhere, also at an instance that only its peers reach, and a
// change whose part isn't there yet waits for it.
func TestOrganisationsInParts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const organisations, parts = 12_000, 16
	f := newFleet(t, "fort", "fort")
	f.daemons[1].platWire.Cut("")
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
		f.platform.Publish(3, f.withRefs("three", refs))
		f.eventually("the part is missed", func() bool {
			return f.daemons[0].metric("tacktally_config_parts_missing_total") > 0
		})
		is.Equal(f.daemons[0].status().Revision, int64(2))
		f.platform.PublishPart(key, content)
	}
	for n := range parts {
		publish(n, "a", false)
	}
	f.platform.Publish(2, f.withRefs("two", refs))
	inForce := func(revision int64) {
		for _, p := range f.daemons {
			f.eventually("the revision is in force", func() bool { return p.status().Revision == revision })
		}
	}
	inForce(2)
	for _, p := range f.daemons {
		is.Equal(p.send(call{path: lookup, body: "q", apiKey: "a11999"}).outcome, api.Answered)
	}
	publish(7, "b", true)
	inForce(3)
	for _, p := range f.daemons {
		is.Equal(p.send(call{path: lookup, body: "q", apiKey: "b7"}).outcome, api.Answered)
		is.Equal(p.send(call{path: lookup, body: "q", apiKey: "a7"}).problem.Reason, api.ReasonUnknownAPIKey)
	}
}

// withRefs is the fleet's document with references to parts.
func (f *fleet) withRefs(note string, refs []string) []byte {
	return []byte(strings.Replace(string(document(note)), "{", `{"parts":[`+strings.Join(refs, ",")+`],`, 1))
}
