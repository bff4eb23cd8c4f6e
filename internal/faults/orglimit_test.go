package faults

import (
	"testing"

	"github.com/go-json-experiment/json"
	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
)

// An organisation that exceeds its tokens per second is refused immediately with a time after which to
// retry. Other organisations aren't affected.
func TestOrganisationLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	var d api.Document
	is.NoErr(json.Unmarshal(document("limited"), &d))
	d.Organisations[0].Spec.TokensPerSecond = 1
	content, err := json.Marshal(&d)
	is.NoErr(err)
	f.platform.Publish(2, content)
	p := f.daemons[0]
	f.eventually("the limit is in force", func() bool { return p.status().Revision == 2 })
	is.Equal(p.send(call{path: chatPath, body: prompt("a long dossier", true)}).outcome, api.Answered) // drives the bucket negative
	r := p.send(call{path: chatPath, body: prompt("another", true)})
	is.Equal(r.problem.Reason, api.ReasonOrganisationLimit)
	is.Equal(r.outcome, api.NotRun)
	is.True(r.problem.RetryAfterSeconds > 1)
	is.Equal(p.send(call{path: chatPath, body: prompt("another", true), apiKey: otherKey}).outcome, api.Answered)
}
