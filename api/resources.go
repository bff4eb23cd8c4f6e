package api

// Kind is a kind of resource.
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

// Document is the configuration that operators publish at the platform's
// configuration service: all resources, as one JSON value of at most 1 MB.
// Organisations that don't fit are published in parts, which are separate values.
type Document struct {
	// Parts refer to values with further organisations. Publish a part before the
	// document that refers to it, under a key that is never reused, such as one that
	// contains its hash.
	Parts []PartReference `json:"parts,omitzero"`
	// Organisations are those whose requests are served.
	Organisations []Organisation `json:"organisations"`
	// Tiers are the priorities of requests; at least one.
	Tiers []Tier `json:"tiers"`
	// EngineSets are the sets of model engines. The engines of a set may differ in speed.
	EngineSets []EngineSet `json:"engineSets"`
	// Services are the plain services.
	Services []Service `json:"services"`
}

// PartReference refers to a part by its key and by the hash of its content.
type PartReference struct {
	// Key is the key of the part at the platform's configuration service.
	Key string `json:"key"`
	// SHA256 is the SHA-256 hash of the part's content, in lower-case hex.
	SHA256 string `json:"sha256"`
}

// Part is a value of at most 1 MB that holds some of the organisations.
type Part struct {
	// Organisations are those declared in this part.
	Organisations []Organisation `json:"organisations"`
}

// Organisation is a paying or internal party whose requests the system serves.
type Organisation struct {
	// Metadata holds the name.
	Metadata Metadata `json:"metadata"`
	// Spec holds the declared properties.
	Spec OrganisationSpec `json:"spec"`
}

// OrganisationSpec is the declaration of an organisation.
type OrganisationSpec struct {
	// APIKeyHashes are the SHA-256 hashes of the organisation's API keys, in lower-case hex.
	APIKeyHashes []string `json:"apiKeyHashes"`
	// Tiers are those that the organisation may use; the first is the default.
	Tiers []string `json:"tiers"`
	// Share is the organisation's weight among those of a tier. Default 1.
	Share float64 `json:"share,omitzero"`
	// TokensPerSecond limits prompt and output tokens per second over all instances. Default 0: no limit.
	TokensPerSecond float64 `json:"tokensPerSecond,omitzero"`
	// CallerChosenIDs selects what happens to a request whose Idempotency-Key was
	// chosen by the caller: "refuse" refuses it, "first-attempt" dispatches it if it
	// is marked as the first attempt. Default "refuse".
	CallerChosenIDs CallerIDPolicy `json:"callerChosenIDs,omitzero"`
}

// CallerIDPolicy selects what happens to requests with a caller-chosen ID.
type CallerIDPolicy string

// The policies.
const (
	CallerIDsRefused      CallerIDPolicy = "refuse"
	CallerIDsFirstAttempt CallerIDPolicy = "first-attempt"
)

// Tier is a priority. All queued work of a higher tier is dispatched first.
type Tier struct {
	// Metadata holds the name.
	Metadata Metadata `json:"metadata"`
	// Spec holds the declared properties.
	Spec TierSpec `json:"spec"`
}

// TierSpec is the declaration of a tier.
type TierSpec struct {
	// Rank orders the tiers: 0 is the most important. Each tier has its own rank.
	Rank int `json:"rank"`
	// TimeoutMillis is the timeout of a request that sets none, in milliseconds; 1 to 3,600,000.
	TimeoutMillis int `json:"timeoutMillis"`
	// FirstTokenMillis is the longest time to the first token that counts as in time, in milliseconds. Default 0: no limit.
	FirstTokenMillis int `json:"firstTokenMillis,omitzero"`
}

// EngineSet is a set of model engines, possibly of different speeds, that serve the same models.
type EngineSet struct {
	// Metadata holds the name.
	Metadata Metadata `json:"metadata"`
	// Spec holds the declared properties.
	Spec EngineSetSpec `json:"spec"`
}

// EngineSetSpec is the declaration of a set of engines. Its members are the
// upstreams in the platform's instance list that name the set.
type EngineSetSpec struct {
	// Models are those that the set serves. A model belongs to one set only.
	Models []string `json:"models"`
	// MaxPromptTokens is the maximum length of a prompt, in tokens; longer ones are refused.
	MaxPromptTokens int `json:"maxPromptTokens"`
	// MaxOutputTokens is the output limit of a request that sets none, in tokens.
	MaxOutputTokens int `json:"maxOutputTokens"`
	// PrefillWeight is the weight of repeated prefill in the choice of an engine, 0 to 20.
	// A higher weight repeats less prefill; a lower one gives earlier responses.
	// Default 3.
	PrefillWeight *float64 `json:"prefillWeight,omitzero"`
	// ChecksFencing states that the engines refuse an order with an outdated fencing
	// number. Default false.
	ChecksFencing bool `json:"checksFencing,omitzero"`
	// LoadModels makes tacktally order the engines to load the set's models. Default false.
	LoadModels bool `json:"loadModels,omitzero"`
	// Adapters are those that the engines are ordered to load, by name and version.
	Adapters []Adapter `json:"adapters,omitzero"`
	// Role is the role that the engines are ordered to take: "mixed", "prefill" or
	// "decode". Default: no role is ordered.
	Role EngineRole `json:"role,omitzero"`
}

// EngineRole is the phase of requests that an engine runs.
type EngineRole string

// The roles.
const (
	RoleMixed   EngineRole = "mixed"
	RolePrefill EngineRole = "prefill"
	RoleDecode  EngineRole = "decode"
)

// Adapter is a set of weights that an engine loads in addition to its model.
type Adapter struct {
	// Name is the adapter's name, unique in the set.
	Name string `json:"name"`
	// Version is the version to load.
	Version string `json:"version"`
}

// Service is a set of plain upstreams behind one path prefix.
type Service struct {
	// Metadata holds the name.
	Metadata Metadata `json:"metadata"`
	// Spec holds the declared properties.
	Spec ServiceSpec `json:"spec"`
}

// ServiceSpec is the declaration of a service. It is served at
// /services/NAME/; its members are the upstreams that name it.
type ServiceSpec struct {
	// NonIdempotent lists the calls that run at most once, regardless of the caller's
	// headers, as "METHOD /path/prefix".
	NonIdempotent []string `json:"nonIdempotent,omitzero"`
	// MaxBodyBytes is the maximum size of a request body, in bytes. Default 1048576 (1 MiB).
	MaxBodyBytes int `json:"maxBodyBytes,omitzero"`
	// CostTokens is the number of tokens that one call counts against limits. Default 1.
	CostTokens int `json:"costTokens,omitzero"`
}
