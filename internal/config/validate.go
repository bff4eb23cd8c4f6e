package config

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"

	"github.com/tacktally/tacktally/api"
)

// Limits of a document.
const (
	maxTimeoutMillis        = 3_600_000
	maxServiceBodyBytes     = 64 << 20
	maxTokensPerPrompt      = 10_000_000
	maxTiers                = 32
	maxPrefillWeight        = 20
	defaultServiceBodyBytes = 1 << 20
)

var modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)

const (
	maxNameLength = 63
	hashDigits    = 64
)

// isName reports whether text is a valid name of a resource. It doesn't use a regular
// expression, which would be too slow for the up to 12,000 names checked at each change.
func isName(text string) bool {
	if text == "" || len(text) > maxNameLength || text[0] == '-' || text[len(text)-1] == '-' {
		return false
	}
	for i := range len(text) {
		c := text[i]
		if c != '-' && !isDigit(c) && (c < 'a' || c > 'z') {
			return false
		}
	}
	return true
}

// isHash reports whether text is a SHA-256 hash in lower-case hex.
func isHash(text string) bool {
	if len(text) != hashDigits {
		return false
	}
	for i := range len(text) {
		c := text[i]
		if !isDigit(c) && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// validate checks a decoded document and its parts. The error is nil or a *RejectedError
// with all faults in the order of the document.
func validate(doc *api.Document, parts map[string]*part) error {
	n := len(doc.Organisations)
	for _, p := range parts {
		n += len(p.organisations)
	}
	v := &validator{organisationNames: make(map[string]bool, n), keyOwners: make(map[string]string, n)}
	v.partReferences(doc.Parts)
	tiers := v.tiers(doc.Tiers)
	v.organisations("", doc.Organisations, tiers)
	for i, r := range doc.Parts {
		if p := parts[r.SHA256]; p != nil {
			v.organisations(fmt.Sprintf("/parts/%d", i), p.organisations, tiers)
		}
	}
	v.engineSets(doc.EngineSets)
	v.services(doc.Services)
	if len(v.faults) == 0 {
		return nil
	}
	return &RejectedError{Faults: v.faults}
}

type validator struct {
	faults []FieldError
	// organisationNames and keyOwners hold what was seen so far in the document and its parts;
	// keyOwners maps hashes of API keys to organisations.
	organisationNames map[string]bool
	keyOwners         map[string]string
}

func (v *validator) add(path, format string, args ...any) {
	v.faults = append(v.faults, FieldError{Path: path, Message: fmt.Sprintf(format, args...)})
}

// name checks the name of a resource and that no resource in seen has it.
func (v *validator) name(path func() string, name string, seen map[string]bool) {
	if !isName(name) {
		v.add(path()+"/metadata/name", "%q is not a valid name; use 1 to 63 of a-z, 0-9 and -", name)
		return
	}
	if seen[name] {
		v.add(path()+"/metadata/name", "%q is declared twice; remove or rename one", name)
	}
	seen[name] = true
}

func (v *validator) inRange(path string, value, low, high int, unit string) {
	if value < low || value > high {
		v.add(path, "is %d; set %d to %d %s", value, low, high, unit)
	}
}

func (v *validator) tiers(tiers []api.Tier) map[string]bool {
	seen := map[string]bool{}
	ranks := map[int]string{}
	if len(tiers) == 0 {
		v.add("/tiers", "is empty; declare at least one tier")
	}
	if len(tiers) > maxTiers {
		v.add("/tiers", "has %d tiers; declare at most %d", len(tiers), maxTiers)
	}
	for i, t := range tiers {
		path := fmt.Sprintf("/tiers/%d", i)
		v.name(func() string { return path }, t.Metadata.Name, seen)
		v.inRange(path+"/spec/timeoutMillis", t.Spec.TimeoutMillis, 1, maxTimeoutMillis, "milliseconds")
		v.inRange(path+"/spec/firstTokenMillis", t.Spec.FirstTokenMillis, 0, maxTimeoutMillis, "milliseconds")
		v.inRange(path+"/spec/rank", t.Spec.Rank, 0, maxTiers-1, "with 0 the most important")
		if other, ok := ranks[t.Spec.Rank]; ok {
			v.add(path+"/spec/rank", "is %d, the same as that of tier %q; give each tier its own rank", t.Spec.Rank, other)
		}
		ranks[t.Spec.Rank] = t.Metadata.Name
	}
	return seen
}

func (v *validator) organisations(prefix string, orgs []api.Organisation, tiers map[string]bool) {
	for i, o := range orgs {
		path := func() string { return fmt.Sprintf("%s/organisations/%d", prefix, i) }
		v.name(path, o.Metadata.Name, v.organisationNames)
		v.apiKeys(path, o)
		v.tierReferences(path, o.Spec.Tiers, tiers)
		if o.Spec.Share < 0 {
			v.add(path()+"/spec/share", "is %g; set a weight above 0, or leave it out for 1", o.Spec.Share)
		}
		if o.Spec.TokensPerSecond < 0 {
			v.add(path()+"/spec/tokensPerSecond", "is %g; set tokens per second above 0, or leave it out for no limit", o.Spec.TokensPerSecond)
		}
		switch o.Spec.CallerChosenIDs {
		case "", api.CallerIDsRefused, api.CallerIDsFirstAttempt:
		default:
			v.add(path()+"/spec/callerChosenIDs", "is %q; use %q or %q", o.Spec.CallerChosenIDs, api.CallerIDsRefused, api.CallerIDsFirstAttempt)
		}
	}
}

func (v *validator) apiKeys(path func() string, o api.Organisation) {
	for i, h := range o.Spec.APIKeyHashes {
		at := func() string { return fmt.Sprintf("%s/spec/apiKeyHashes/%d", path(), i) }
		if !isHash(h) {
			v.add(at(), "is not a SHA-256 hash; give 64 lower-case hex digits (tacktally hash-key prints one)")
			continue
		}
		if owner, ok := v.keyOwners[h]; ok {
			v.add(at(), "is also a key of organisation %q; give each organisation its own keys", owner)
		}
		v.keyOwners[h] = o.Metadata.Name
	}
}

func (v *validator) tierReferences(path func() string, names []string, tiers map[string]bool) {
	if len(names) == 0 {
		v.add(path()+"/spec/tiers", "is empty; name at least one tier, the default first")
	}
	for i, name := range names {
		if !tiers[name] {
			v.add(fmt.Sprintf("%s/spec/tiers/%d", path(), i), "names tier %q, which isn't declared; declare it under /tiers or correct the name", name)
		}
	}
}

func (v *validator) engineSets(sets []api.EngineSet) {
	seen := map[string]bool{}
	models := map[string]string{}
	for i, s := range sets {
		path := fmt.Sprintf("/engineSets/%d", i)
		v.name(func() string { return path }, s.Metadata.Name, seen)
		v.inRange(path+"/spec/maxPromptTokens", s.Spec.MaxPromptTokens, 1, maxTokensPerPrompt, "tokens")
		v.inRange(path+"/spec/maxOutputTokens", s.Spec.MaxOutputTokens, 1, maxTokensPerPrompt, "tokens")
		if len(s.Spec.Models) == 0 {
			v.add(path+"/spec/models", "is empty; name the models that the set serves")
		}
		for j, m := range s.Spec.Models {
			at := fmt.Sprintf("%s/spec/models/%d", path, j)
			if !modelPattern.MatchString(m) {
				v.add(at, "%q is not a valid model name; use letters, digits and . _ : / -", m)
			}
			if owner, ok := models[m]; ok {
				v.add(at, "model %q already belongs to set %q; list it once", m, owner)
			}
			models[m] = s.Metadata.Name
		}
		if w := s.Spec.PrefillWeight; w != nil && (*w < 0 || *w > maxPrefillWeight) {
			v.add(path+"/spec/prefillWeight", "is %g; set 0 to %d, or leave it out for %d", *w, maxPrefillWeight, DefaultPrefillWeight)
		}
		v.adapters(path+"/spec/adapters", s.Spec.Adapters)
		switch s.Spec.Role {
		case "", api.RoleMixed, api.RolePrefill, api.RoleDecode:
		default:
			v.add(path+"/spec/role", "is %q; use %q, %q or %q, or leave it out", s.Spec.Role, api.RoleMixed, api.RolePrefill, api.RoleDecode)
		}
	}
}

func (v *validator) adapters(path string, adapters []api.Adapter) {
	seen := map[string]bool{}
	for i, a := range adapters {
		at := fmt.Sprintf("%s/%d", path, i)
		if !modelPattern.MatchString(a.Name) {
			v.add(at+"/name", "%q is not a valid adapter name; use letters, digits and . _ : / -", a.Name)
		}
		if a.Version == "" {
			v.add(at+"/version", "is empty; name the version to load")
		}
		if seen[a.Name] {
			v.add(at+"/name", "%q is listed twice; keep one version", a.Name)
		}
		seen[a.Name] = true
	}
}

func (v *validator) services(services []api.Service) {
	seen := map[string]bool{}
	for i, s := range services {
		path := fmt.Sprintf("/services/%d", i)
		v.name(func() string { return path }, s.Metadata.Name, seen)
		v.inRange(path+"/spec/maxBodyBytes", s.Spec.MaxBodyBytes, 0, maxServiceBodyBytes, "bytes")
		v.inRange(path+"/spec/costTokens", s.Spec.CostTokens, 0, maxTokensPerPrompt, "tokens")
		for j, call := range s.Spec.NonIdempotent {
			if _, err := parseCall(call); err != nil {
				v.add(fmt.Sprintf("%s/spec/nonIdempotent/%d", path, j), "%v", err)
			}
		}
	}
}

// call selects requests by method and path prefix.
type call struct {
	method string
	prefix string
}

var callMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPost: true,
	http.MethodPut: true, http.MethodPatch: true, http.MethodDelete: true,
}

func parseCall(text string) (call, error) {
	method, prefix, ok := strings.Cut(text, " ")
	if !ok || !callMethods[method] || !strings.HasPrefix(prefix, "/") {
		return call{}, fmt.Errorf("%q is not a valid call; write a method, a space and a path, such as \"POST /release\"", text)
	}
	return call{method: method, prefix: prefix}, nil
}
