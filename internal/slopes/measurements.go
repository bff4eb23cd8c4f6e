package slopes

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/config"
	"github.com/tacktally/tacktally/internal/idempotency"
	"github.com/tacktally/tacktally/internal/platform"
	"github.com/tacktally/tacktally/internal/queue"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/subset"
	"github.com/tacktally/tacktally/internal/watch"
)

var (
	organisationSizes = []int{500, 1000, 2000, 4000}
	listSizes         = []int{100, 1000, 10_000}
	upstreamSizes     = []int{50, 1000, 10_000}
	queueSizes        = []int{500, 1000, 2000}
	keySizes          = []int{2000, 8000, 32_000}
)

// document returns a configuration with the given number of organisations, each with one API key.
func document(organisations int) []byte {
	d := api.Document{
		Tiers:      []api.Tier{{Metadata: api.Metadata{Name: "desk"}, Spec: api.TierSpec{TimeoutMillis: 1000}}},
		EngineSets: []api.EngineSet{{Metadata: api.Metadata{Name: "readers"}, Spec: api.EngineSetSpec{Models: []string{"m"}, MaxPromptTokens: 9, MaxOutputTokens: 9}}},
	}
	for i := range organisations {
		d.Organisations = append(d.Organisations, api.Organisation{
			Metadata: api.Metadata{Name: fmt.Sprintf("organisation-%d", i)},
			Spec: api.OrganisationSpec{
				APIKeyHashes:    []string{config.HashAPIKey(fmt.Sprint("a", i))},
				Tiers:           []string{"desk"},
				TokensPerSecond: 1000,
			},
		})
	}
	content, err := json.Marshal(&d)
	if err != nil {
		panic("slopes: a document always encodes: " + err.Error())
	}
	return content
}

// accept returns the accepted snapshot of a valid configuration.
func accept(content []byte) *config.Snapshot {
	s, err := config.Accept(1, content, nil)
	if err != nil {
		panic("slopes: the document is valid: " + err.Error())
	}
	return s
}

func configurationBytes() Slope {
	return measure("configuration document", "bytes", "organisation", organisationSizes, func(n int) float64 {
		return float64(len(document(n)))
	})
}

func configurationTime() Slope {
	return measure("accepting a configuration", "µs", "organisation", organisationSizes, func(n int) float64 {
		content := document(n)
		return timeOf(func() { accept(content) })
	})
}

// partChangeTime measures the acceptance of a change in one of 64 parts.
func partChangeTime() Slope {
	const parts = 64
	return measure("accepting and noting a change in one of 64 parts", "µs", "organisation", []int{3000, 6000, 12_000}, func(n int) float64 {
		h := config.NewHolder()
		contents := config.Parts{}
		var refs []api.PartReference
		for i := range parts {
			content := partDocument(i, n/parts)
			contents[config.HashPart(content)] = content
			refs = append(refs, api.PartReference{Key: fmt.Sprint(i), SHA256: config.HashPart(content)})
		}
		other := partDocument(parts, n/parts)
		contents[config.HashPart(other)] = other
		revision := int64(0)
		changes := watch.NewLog()
		return timeOf(func() {
			revision++
			changed := slices.Clone(refs)
			if revision%2 == 0 {
				changed[0].SHA256 = config.HashPart(other)
			}
			if _, err := h.Offer(time.Now(), revision, mainDocument(changed), contents); err != nil {
				panic("slopes: the document is valid: " + err.Error())
			}
			changes.Add(h.Current())
		})
	})
}

// partDocument returns a configuration part with the given number of organisations, whose names are unique
// to the part.
func partDocument(part, organisations int) []byte {
	var d api.Document
	if err := json.Unmarshal(document(organisations), &d); err != nil {
		panic("slopes: a document always decodes: " + err.Error())
	}
	for i := range d.Organisations {
		name := fmt.Sprintf("p%d-%d", part, i)
		d.Organisations[i].Metadata.Name = name
		d.Organisations[i].Spec.APIKeyHashes[0] = config.HashAPIKey(name)
	}
	content, err := json.Marshal(api.Part{Organisations: d.Organisations})
	if err != nil {
		panic("slopes: a part always encodes: " + err.Error())
	}
	return content
}

// mainDocument returns a configuration that refers to parts.
func mainDocument(refs []api.PartReference) []byte {
	var d api.Document
	if err := json.Unmarshal(document(0), &d); err != nil {
		panic("slopes: a document always decodes: " + err.Error())
	}
	d.Parts = refs
	content, err := json.Marshal(&d)
	if err != nil {
		panic("slopes: a document always encodes: " + err.Error())
	}
	return content
}

func configurationMemory() Slope {
	return measure("accepted configuration", "bytes", "organisation", organisationSizes, func(n int) float64 {
		return memoryOf(func() any { return accept(document(n)) })
	})
}

// newList returns an instance list with n upstreams.
func newList(n int) []platform.Instance {
	out := make([]platform.Instance, n)
	for i := range out {
		out[i] = platform.Instance{Address: fmt.Sprintf("10.0.%d.%d:9001", i/250, i%250), Zone: "bole", Set: "readers", State: platform.Live}
	}
	return out
}

func encodeList(n int) []byte {
	content, err := json.Marshal(newList(n))
	if err != nil {
		panic("slopes: a list always encodes: " + err.Error())
	}
	return content
}

func listBytes() Slope {
	return measure("instance list", "bytes", "entry", listSizes, func(n int) float64 { return float64(len(encodeList(n))) })
}

func listTime() Slope {
	return measure("taking an instance list", "µs", "entry", listSizes, func(n int) float64 {
		content := encodeList(n)
		c := newCore(0)
		return timeOf(func() {
			var l []platform.Instance
			_ = json.Unmarshal(content, &l)
			c.SetMembers(members(l))
		})
	})
}

func members(l []platform.Instance) []scheduler.Member {
	out := make([]scheduler.Member, len(l))
	for i, e := range l {
		out[i] = scheduler.Member{Address: e.Address, Zone: e.Zone}
	}
	return out
}

// zoneInstances is the number of instances in an availability zone at the target size.
const zoneInstances = 81

func subsetTime() Slope {
	instances := make([]string, zoneInstances)
	for i := range instances {
		instances[i] = fmt.Sprintf("10.1.0.%d:7003", i)
	}
	return measure("choosing a subset among 81 instances", "µs", "upstream", listSizes, func(n int) float64 {
		addresses := make([]string, n)
		for i, e := range newList(n) {
			addresses[i] = e.Address
		}
		return timeOf(func() { subset.Select(instances[0], instances, addresses, 48) })
	})
}

// prefixIndexBlocks bounds the prefix index of each upstream.
const prefixIndexBlocks = 2048

func newCore(upstreams int) *scheduler.Core {
	c := scheduler.New(scheduler.Options{
		Picker:            balancer.NewPredictive(1, rand.New(rand.NewPCG(1, 2))),
		Limits:            queue.Limits{MaxItems: 1 << 20, MaxBytes: 1 << 40},
		PrefixIndexBlocks: prefixIndexBlocks,
	})
	c.SetMembers(members(newList(upstreams)))
	return c
}

func upstreamMemory() Slope {
	return measure("state of an upstream, new", "bytes", "upstream", upstreamSizes, func(n int) float64 {
		return memoryOf(func() any { return newCore(n) })
	})
}

func filledUpstreamMemory() Slope {
	return measure("state of an upstream, full prefix memory", "bytes", "upstream", []int{10, 50, 200}, func(n int) float64 {
		return memoryOf(func() any {
			c := newCore(n)
			for _, u := range c.Upstreams() {
				hashes := make([]uint64, prefixIndexBlocks)
				for i := range hashes {
					hashes[i] = rand.Uint64()
				}
				u.PrefixIndex.Add(hashes)
			}
			return c
		})
	})
}

// sampleRequest returns a request; i varies its rank, organisation and prefix hashes.
func sampleRequest(i int) *scheduler.Request {
	now := time.Now()
	return &scheduler.Request{
		Rank: i % 4, Organisation: fmt.Sprint("organisation-", i%100), Share: 1,
		Arrived: now, Deadline: now.Add(time.Hour), PromptTokens: 500, MaxOutput: 200, Bytes: 2000,
		PrefixHashes: []uint64{1, uint64(i), uint64(i) + 1, uint64(i) + 2},
	}
}

// decisionTime measures the scheduling of one request from submission over grant and first token to
// completion.
func decisionTime() Slope {
	return measure("one decision (submit to done)", "µs", "upstream", upstreamSizes, func(n int) float64 {
		c := newCore(n)
		i := 0
		return timeOf(func() {
			now := time.Now()
			i++
			d := c.Submit(now, sampleRequest(i))
			if len(d.Grants) == 1 {
				c.RecordFirstToken(now, d.Grants[0])
				c.RecordCompleted(now, d.Grants[0], 1)
			}
		})
	})
}

// busyDecisionTime measures one decision while 1000 requests are queued: one request completes, the next
// one is selected among the first few of the queue and granted, and another one is submitted.
func busyDecisionTime() Slope {
	return measure("one decision while 1000 wait", "µs", "upstream", []int{10, 50, 200}, func(n int) float64 {
		c := newCore(n)
		var running []*scheduler.Grant
		i := 0
		submit := func() {
			i++
			running = append(running, c.Submit(time.Now(), sampleRequest(i)).Grants...)
		}
		for waiting := 0; waiting < 1000; {
			submit()
			waiting = 0
			for _, k := range c.Queued(4) {
				waiting += k
			}
		}
		return timeOf(func() {
			now := time.Now()
			g := running[0]
			running = running[1:]
			running = append(running, c.RecordFirstToken(now, g).Grants...)
			running = append(running, c.RecordCompleted(now, g, 1).Grants...)
			submit()
		})
	})
}

// newFullCore returns a core of one upstream with at least n requests queued.
func newFullCore(n int) *scheduler.Core {
	c := newCore(1)
	for i := 0; ; i++ {
		c.Submit(time.Now(), sampleRequest(i))
		waiting := 0
		for _, k := range c.Queued(4) {
			waiting += k
		}
		if waiting >= n {
			return c
		}
	}
}

func queueMemory() Slope {
	return measure("waiting request, without its body", "bytes", "request", queueSizes, func(n int) float64 {
		return memoryOf(func() any { return newFullCore(n) })
	})
}

func queueTime() Slope {
	return measure("entering and leaving a queue", "µs", "request waiting", queueSizes, func(n int) float64 {
		c := newFullCore(n)
		i := 0
		return timeOf(func() {
			i++
			r := sampleRequest(i)
			c.Submit(time.Now(), r)
			c.Cancel(r)
		})
	})
}

// newRegistry returns an idempotency registry with space for 2n keys.
func newRegistry(n int) *idempotency.Registry {
	return idempotency.NewRegistry(idempotency.Limits{Lifetime: time.Hour, MaxEntries: 2 * n, MaxAnswerBytes: 1 << 40}, idempotency.NewClock())
}

// useKey records the use of key i with an empty response.
func useKey(r *idempotency.Registry, i int) {
	r.Reserve(fmt.Sprint("organisation-", i%10))
	b, _, _ := r.Begin(idempotency.Use{Key: fmt.Sprintf("ttk1.%0200d", i), Organisation: "organisation", Expiry: time.Hour})
	if b != nil {
		b.Finish(answer.End{})
	}
}

func keyMemory() Slope {
	return measure("key in use, without its answer", "bytes", "key", keySizes, func(n int) float64 {
		return memoryOf(func() any {
			r := newRegistry(n)
			for i := range n {
				useKey(r, i)
			}
			return r
		})
	})
}

func keyTime() Slope {
	return measure("issuing and verifying a key", "µs", "key in use", keySizes, func(n int) float64 {
		r := newRegistry(n)
		for i := range n {
			useKey(r, i)
		}
		issuer := idempotency.NewIssuer("10.0.0.1:7003", 1, idempotency.NewClock())
		return timeOf(func() {
			r.Reserve("organisation")
			_, _ = issuer.Verify(issuer.Issue("organisation", "", time.Hour))
		})
	})
}
