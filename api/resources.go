package api

// Kind names a kind of resource.
type Kind string

// The kinds.
const (
	KindOrganisation Kind = "Organisation"
	KindTier         Kind = "Tier"
	KindEngineSet    Kind = "EngineSet"
	KindService      Kind = "Service"
)

// Kinds lists the kinds in the order in which tools show them.
var Kinds = []Kind{KindOrganisation, KindTier, KindEngineSet, KindService}

// Metadata names a resource within its kind.
type Metadata struct {
	// Name is 1 to 63 characters of a-z, 0-9 and "-".
	Name string `json:"name"`
}

// Document is what operators publish at the platform's configuration service:
// every resource, as one JSON value of at most 1 MB. Organisations that don't fit
// stand in parts, which are values of their own.
type Document struct {
	// Parts with further organisations. Publish a part before the document that
	// names it, under a key that is never used again, such as one with its sum.
	Parts []PartReference `json:"parts,omitzero"`
	// Organisations whose requests are served.
	Organisations []Organisation `json:"organisations"`
	// Tiers of importance; at least one.
	Tiers []Tier `json:"tiers"`
	// EngineSets are the sets of unlike model engines.
	EngineSets []EngineSet `json:"engineSets"`
	// Services are the plain services.
	Services []Service `json:"services"`
}

// PartReference names a part and fixes its content.
type PartReference struct {
	// Key of the part's value at the platform's configuration service.
	Key string `json:"key"`
	// SHA256 is the sum of the part's content, in lower-case hex.
	SHA256 string `json:"sha256"`
}

// Part is a value of at most 1 MB with some of the organisations.
type Part struct {
	// Organisations declared in this part.
	Organisations []Organisation `json:"organisations"`
}

// Organisation is a paying or internal party whose requests the system serves.
type Organisation struct {
	// Metadata names it.
	Metadata Metadata `json:"metadata"`
	// Spec is what is declared of it.
	Spec OrganisationSpec `json:"spec"`
}

// OrganisationSpec is what an operator declares of an organisation.
type OrganisationSpec struct {
	// APIKeyHashes are SHA-256 sums of its API keys, in lower-case hex.
	APIKeyHashes []string `json:"apiKeyHashes"`
	// Tiers it may use; the first is the default.
	Tiers []string `json:"tiers"`
	// Share is its weight among the organisations of a tier; 1 by default.
	Share float64 `json:"share,omitzero"`
	// TokensPerSecond bounds prompt and output tokens over all instances; 0 is no bound.
	TokensPerSecond float64 `json:"tokensPerSecond,omitzero"`
	// CallerChosenIDs is "refuse" (default) or "first-attempt": whether an
	// Idempotency-Key that the caller made up may dispatch when it is marked
	// as the first attempt.
	CallerChosenIDs CallerIDPolicy `json:"callerChosenIDs,omitzero"`
}

// CallerIDPolicy tells what a caller-chosen ID may do.
type CallerIDPolicy string

// The policies.
const (
	CallerIDsRefused      CallerIDPolicy = "refuse"
	CallerIDsFirstAttempt CallerIDPolicy = "first-attempt"
)

// Tier is a level of importance. All queued work of a higher tier goes first.
type Tier struct {
	// Metadata names it.
	Metadata Metadata `json:"metadata"`
	// Spec is what is declared of it.
	Spec TierSpec `json:"spec"`
}

// TierSpec is what an operator declares of a tier.
type TierSpec struct {
	// Rank orders the tiers: 0 is the most important. Unique.
	Rank int `json:"rank"`
	// TimeoutMillis applies to a request that names none; 1 to 3,600,000.
	TimeoutMillis int `json:"timeoutMillis"`
	// FirstTokenMillis is the time to the first token that counts as in time; 0 is none.
	FirstTokenMillis int `json:"firstTokenMillis,omitzero"`
}

// EngineSet is a set of unlike model engines that serve the same models.
type EngineSet struct {
	// Metadata names it.
	Metadata Metadata `json:"metadata"`
	// Spec is what is declared of it.
	Spec EngineSetSpec `json:"spec"`
}

// EngineSetSpec is what an operator declares of a set of engines. Its members
// are the upstreams of the platform's instance list that name the set.
type EngineSetSpec struct {
	// Models it serves. A model belongs to one set.
	Models []string `json:"models"`
	// MaxPromptTokens bounds a prompt; longer ones are refused.
	MaxPromptTokens int `json:"maxPromptTokens"`
	// MaxOutputTokens applies to a request that names no limit.
	MaxOutputTokens int `json:"maxOutputTokens"`
	// PrefillWeight is how much the choice of an engine minds reading a prompt
	// again: 0 to 20, 3 by default. Higher wastes less prefill, lower answers
	// sooner.
	PrefillWeight *float64 `json:"prefillWeight,omitzero"`
	// ChecksFencing tells whether the engines refuse an order with an old
	// fencing number.
	ChecksFencing bool `json:"checksFencing,omitzero"`
	// LoadModels orders the engines to load the set's models.
	LoadModels bool `json:"loadModels,omitzero"`
	// Adapters that the engines are ordered to have loaded, by name and version.
	Adapters []Adapter `json:"adapters,omitzero"`
	// Role that the engines are ordered to take: "mixed", "prefill" or "decode"; none
	// is ordered where it is left out.
	Role EngineRole `json:"role,omitzero"`
}

// EngineRole is what an engine does of a request.
type EngineRole string

// The roles.
const (
	RoleMixed   EngineRole = "mixed"
	RolePrefill EngineRole = "prefill"
	RoleDecode  EngineRole = "decode"
)

// Adapter is a set of weights that an engine loads beside its model.
type Adapter struct {
	// Name of the adapter; once in a set.
	Name string `json:"name"`
	// Version to have loaded.
	Version string `json:"version"`
}

// Service is a set of plain upstreams behind one path prefix.
type Service struct {
	// Metadata names it.
	Metadata Metadata `json:"metadata"`
	// Spec is what is declared of it.
	Spec ServiceSpec `json:"spec"`
}

// ServiceSpec is what an operator declares of a service. It is reached at
// /services/NAME/; its members are the upstreams that name it.
type ServiceSpec struct {
	// NonIdempotent lists calls that run at most once whatever the caller's
	// headers say, as "METHOD /path/prefix".
	NonIdempotent []string `json:"nonIdempotent,omitzero"`
	// MaxBodyBytes bounds a request's body; 1 MiB by default.
	MaxBodyBytes int `json:"maxBodyBytes,omitzero"`
	// CostTokens is what one call counts for against limits; 1 by default.
	CostTokens int `json:"costTokens,omitzero"`
}
