package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/tacktally/tacktally/api"
)

// Snapshot is an accepted document with the indexes used to serve requests. It is
// immutable and safe for concurrent use.
type Snapshot struct {
	// Revision under which the platform published the content.
	Revision int64
	// Content is the document as published.
	Content []byte
	// Document is the decoded content. It includes the organisations of all parts.
	Document *api.Document

	parts         map[string]*part
	organisations map[string]*Organisation
	byKeyHash     map[string]*Organisation
	tiers         map[string]*Tier
	setByModel    map[string]*EngineSet
	sets          []*EngineSet
	services      map[string]*Service
	models        []string
}

// Organisation is an organisation with its defaults applied and its tiers resolved.
type Organisation struct {
	Name            string
	Share           float64
	TokensPerSecond float64
	CallerChosenIDs api.CallerIDPolicy
	DefaultTier     *Tier
	tiers           []*Tier // so few that a linear search is faster than a map
}

// Tier returns the tier with the given name, if the organisation may use it.
func (o *Organisation) Tier(name string) (*Tier, bool) {
	for _, t := range o.tiers {
		if t.Name == name {
			return t, true
		}
	}
	return nil, false
}

// Tier is a tier in the form used to serve requests.
type Tier struct {
	Name string
	// Rank 0 is the most important.
	Rank int
	// Timeout is the timeout of a request that sets none.
	Timeout time.Duration
	// FirstToken is the target for the time to the first token; 0 if there is none.
	FirstToken time.Duration
}

// EngineSet is an engine set with its defaults applied.
type EngineSet struct {
	Name            string
	Models          []string
	MaxPromptTokens int
	MaxOutputTokens int
	PrefillWeight   float64
	ChecksFencing   bool
	LoadModels      bool
	Adapters        []api.Adapter
	Role            api.EngineRole
}

// DefaultPrefillWeight is the weight of engine sets that declare none; see
// docs/design/policy.md.
const DefaultPrefillWeight = 3

// Service is a plain service with its defaults applied.
type Service struct {
	Name         string
	MaxBodyBytes int
	CostTokens   int
	calls        []call
}

// NonIdempotent reports whether the operator declared that the call runs at most
// once. Path is relative to the prefix of the service.
func (s *Service) NonIdempotent(method, path string) bool {
	for _, c := range s.calls {
		if c.method == method && strings.HasPrefix(path, c.prefix) {
			return true
		}
	}
	return false
}

// Accept decodes, validates and indexes a published value and its parts. The error
// is a *RejectedError, or a *MissingPartsError if parts are missing.
func Accept(revision int64, content []byte, parts Parts) (*Snapshot, error) {
	return acceptReusing(nil, revision, content, parts)
}

// acceptReusing is like Accept, but reuses the parts that an earlier snapshot has decoded.
func acceptReusing(earlier *Snapshot, revision int64, content []byte, contents Parts) (*Snapshot, error) {
	doc, err := Decode(content)
	if err != nil {
		return nil, err
	}
	var known map[string]*part
	if earlier != nil {
		known = earlier.parts
	}
	parts, err := resolveParts(doc, contents, known)
	if err != nil {
		return nil, err
	}
	if err := validate(doc, parts); err != nil {
		return nil, err
	}
	for _, r := range doc.Parts {
		doc.Organisations = append(doc.Organisations, parts[r.SHA256].organisations...)
	}
	s := &Snapshot{Revision: revision, Content: content, Document: doc, parts: parts}
	s.indexTiers()
	s.indexOrganisations()
	s.indexEngineSets()
	s.indexServices()
	return s, nil
}

// Parts returns the contents of the document's parts, except those whose hashes are in known.
func (s *Snapshot) Parts(known []string) Parts {
	out := Parts{}
	for hash, p := range s.parts {
		if !slices.Contains(known, hash) {
			out[hash] = p.content
		}
	}
	return out
}

// PartHashes returns the hashes of the document's parts.
func (s *Snapshot) PartHashes() []string { return slices.Collect(maps.Keys(s.parts)) }

func (s *Snapshot) indexTiers() {
	s.tiers = make(map[string]*Tier, len(s.Document.Tiers))
	for _, t := range s.Document.Tiers {
		s.tiers[t.Metadata.Name] = &Tier{
			Name:       t.Metadata.Name,
			Rank:       t.Spec.Rank,
			Timeout:    time.Duration(t.Spec.TimeoutMillis) * time.Millisecond,
			FirstToken: time.Duration(t.Spec.FirstTokenMillis) * time.Millisecond,
		}
	}
}

func (s *Snapshot) indexOrganisations() {
	n := len(s.Document.Organisations)
	s.organisations = make(map[string]*Organisation, n)
	s.byKeyHash = make(map[string]*Organisation, n)
	all := make([]Organisation, n)
	for i, o := range s.Document.Organisations {
		org := &all[i]
		*org = Organisation{
			Name:            o.Metadata.Name,
			Share:           cmp.Or(o.Spec.Share, 1),
			TokensPerSecond: o.Spec.TokensPerSecond,
			CallerChosenIDs: cmp.Or(o.Spec.CallerChosenIDs, api.CallerIDsRefused),
			DefaultTier:     s.tiers[o.Spec.Tiers[0]],
			tiers:           make([]*Tier, len(o.Spec.Tiers)),
		}
		for j, name := range o.Spec.Tiers {
			org.tiers[j] = s.tiers[name]
		}
		s.organisations[org.Name] = org
		for _, h := range o.Spec.APIKeyHashes {
			s.byKeyHash[h] = org
		}
	}
}

func (s *Snapshot) indexEngineSets() {
	s.setByModel = make(map[string]*EngineSet)
	for _, e := range s.Document.EngineSets {
		set := &EngineSet{
			Name:            e.Metadata.Name,
			Models:          e.Spec.Models,
			MaxPromptTokens: e.Spec.MaxPromptTokens,
			MaxOutputTokens: e.Spec.MaxOutputTokens,
			PrefillWeight:   DefaultPrefillWeight,
			ChecksFencing:   e.Spec.ChecksFencing,
			LoadModels:      e.Spec.LoadModels,
			Adapters:        e.Spec.Adapters,
			Role:            e.Spec.Role,
		}
		if e.Spec.PrefillWeight != nil {
			set.PrefillWeight = *e.Spec.PrefillWeight
		}
		s.sets = append(s.sets, set)
		for _, m := range e.Spec.Models {
			s.setByModel[m] = set
			s.models = append(s.models, m)
		}
	}
	slices.Sort(s.models)
}

func (s *Snapshot) indexServices() {
	s.services = make(map[string]*Service, len(s.Document.Services))
	for _, d := range s.Document.Services {
		svc := &Service{
			Name:         d.Metadata.Name,
			MaxBodyBytes: cmp.Or(d.Spec.MaxBodyBytes, defaultServiceBodyBytes),
			CostTokens:   cmp.Or(d.Spec.CostTokens, 1),
		}
		for _, text := range d.Spec.NonIdempotent {
			c, _ := parseCall(text) // validate has checked it
			svc.calls = append(svc.calls, c)
		}
		s.services[svc.Name] = svc
	}
}

// HashAPIKey returns the SHA-256 hash of an API key in lower-case hex, the form in which
// keys are published.
func HashAPIKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// OrganisationByAPIKey returns the organisation that owns an API key. The key is looked up
// by its hash, so that the time taken reveals nothing about the existing keys.
func (s *Snapshot) OrganisationByAPIKey(key string) (*Organisation, bool) {
	o, ok := s.byKeyHash[HashAPIKey(key)]
	return o, ok
}

// Organisation returns the organisation with the given name.
func (s *Snapshot) Organisation(name string) (*Organisation, bool) {
	o, ok := s.organisations[name]
	return o, ok
}

// Tier returns the tier with the given name.
func (s *Snapshot) Tier(name string) (*Tier, bool) {
	t, ok := s.tiers[name]
	return t, ok
}

// EngineSetByModel returns the engine set that serves a model.
func (s *Snapshot) EngineSetByModel(model string) (*EngineSet, bool) {
	e, ok := s.setByModel[model]
	return e, ok
}

// Service returns the service with the given name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	d, ok := s.services[name]
	return d, ok
}

// EngineSets returns the engine sets in the order of the document.
func (s *Snapshot) EngineSets() []*EngineSet { return s.sets }

// Models returns the names of all served models, sorted.
func (s *Snapshot) Models() []string { return s.models }
