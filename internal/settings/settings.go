// Package settings reads the daemon's settings file.
//
// The file is JSON and maps one to one to Settings. Load reports every fault at
// once, each with the path of the field and what mends it.
package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
)

// Duration is a time.Duration written as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration; write a number and a unit, such as \"1.5s\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Settings of one tacktallyd.
type Settings struct {
	// Zone is the availability zone this instance stands in. Required.
	Zone string `json:"zone"`
	// Callers is the listener for callers' requests.
	Callers Callers `json:"callers"`
	// Operators is the listener for the resource API, metrics and health.
	Operators Operators `json:"operators"`
	// Peers is the listener for, and the links to, other instances.
	Peers Peers `json:"peers"`
	// Platform is where configuration and the instance list are read.
	Platform Platform `json:"platform"`
	// Idempotency bounds the register of keys.
	Idempotency Idempotency `json:"idempotency"`
	// Queue bounds waiting work.
	Queue Queue `json:"queue"`
	// Upstreams holds what concerns calls to engines and services.
	Upstreams Upstreams `json:"upstreams"`
	// Drain bounds a graceful shutdown.
	Drain Drain `json:"drain"`
	// Log sets what is logged.
	Log Log `json:"log"`
	// Routed, where present, makes the instance serve routed requests: routes,
	// organisations and upstreams are read from a store. Platform, operators and
	// idempotency aren't used then.
	Routed *Routed `json:"routed,omitzero"`
}

// Callers is the listener for callers.
type Callers struct {
	// Address to listen on, IP:port. Required.
	Address string `json:"address"`
	// TLS certificate; plain HTTP where absent.
	TLS *TLS `json:"tls,omitzero"`
	// MaxBodyBytes bounds a model request's body. Default 4 MiB.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitzero"`
	// MaxHeaderBytes bounds a request's header. Default 16 KiB.
	MaxHeaderBytes int `json:"maxHeaderBytes,omitzero"`
	// ReadTimeout is the time a caller has to send its whole request. Default 15s.
	ReadTimeout Duration `json:"readTimeout,omitzero"`
	// WriteTimeout is the time a caller has to take one piece of an answer. Default 30s.
	WriteTimeout Duration `json:"writeTimeout,omitzero"`
	// MaxInFlight bounds requests held at once; past it a request displaces a
	// waiting one of a lower tier, or is refused. Default 4096.
	MaxInFlight int `json:"maxInFlight,omitzero"`
}

// Operators is the listener for operators.
type Operators struct {
	// Address to listen on, IP:port. Required.
	Address string `json:"address"`
	// TLS certificate; plain HTTP where absent.
	TLS *TLS `json:"tls,omitzero"`
	// TokenFile holds the bearer token that operators send. Without one the
	// listener must be on a loopback address.
	TokenFile string `json:"tokenFile,omitzero"`
}

// Peers is the listener for other instances.
type Peers struct {
	// Address to listen on, IP:port. Required.
	Address string `json:"address"`
	// Advertise is the IP:port under which peers reach it. Default: Address.
	Advertise string `json:"advertise,omitzero"`
	// Seeds are peers to link to beside those of the instance list.
	Seeds []string `json:"seeds,omitzero"`
	// TLS is used both ways, and peers must show a certificate of ClientCAFile.
	TLS *TLS `json:"tls,omitzero"`
	// Heartbeat is the time between heartbeats. Default 500ms.
	Heartbeat Duration `json:"heartbeat,omitzero"`
	// SuspectAfter is the silence after which a peer is not used. Default 2s.
	SuspectAfter Duration `json:"suspectAfter,omitzero"`
}

// TLS names certificate files. They are read again when they change.
type TLS struct {
	// CertificateFile holds the certificate and its chain, in PEM.
	CertificateFile string `json:"certificateFile"`
	// KeyFile holds the certificate's key, in PEM.
	KeyFile string `json:"keyFile"`
	// ClientCAFile, where given, makes clients show a certificate that it signed.
	ClientCAFile string `json:"clientCAFile,omitzero"`
}

// Platform is the platform's configuration service.
type Platform struct {
	// URL of the service, such as http://10.0.0.2:9000. Required.
	URL string `json:"url"`
	// ConfigKey names the value with the document. Default "tacktally".
	ConfigKey string `json:"configKey,omitzero"`
	// Wait is how long one watch call waits. One that went silent is noticed a second later;
	// 570 instances with two watches make 380 calls a second. Default 3s.
	Wait Duration `json:"wait,omitzero"`
	// MaxListAge is the age past which a paused instance refreshes the instance
	// list before it uses it. Default 3s.
	MaxListAge Duration `json:"maxListAge,omitzero"`
}

// Idempotency bounds the register of keys.
type Idempotency struct {
	// KeyLifetime is how long an issued key can be used. Default 10m.
	KeyLifetime Duration `json:"keyLifetime,omitzero"`
	// MaxEntries bounds the keys in use. Default 20000.
	MaxEntries int `json:"maxEntries,omitzero"`
	// MaxAnswerBytes bounds the held answers of all keys. Default 8 MiB.
	MaxAnswerBytes int64 `json:"maxAnswerBytes,omitzero"`
}

// Queue bounds waiting work.
type Queue struct {
	// MaxItems bounds waiting requests per engine set or service. Default 2000.
	MaxItems int `json:"maxItems,omitzero"`
	// MaxBytes bounds their bodies. Default 64 MiB.
	MaxBytes int64 `json:"maxBytes,omitzero"`
}

// Upstreams holds what concerns calls to engines and services.
type Upstreams struct {
	// ConnectTimeout bounds the making of a connection. Default 1s.
	ConnectTimeout Duration `json:"connectTimeout,omitzero"`
	// RetryBudget is the share of first attempts that may be retried. Default 0.1.
	RetryBudget float64 `json:"retryBudget,omitzero"`
	// Subset is about how many upstreams of a set an instance uses where its
	// availability zone has more. Default 48.
	Subset int `json:"subset,omitzero"`
	// WeightLoadsPerMinute bounds the orders to load weights that this
	// availability zone gives. Default 6.
	WeightLoadsPerMinute int `json:"weightLoadsPerMinute,omitzero"`
}

// Drain bounds a graceful shutdown.
type Drain struct {
	// Timeout after which requests still in flight are given up. 0, the default,
	// waits until the last one's deadline.
	Timeout Duration `json:"timeout,omitzero"`
}

// Log sets what is logged.
type Log struct {
	// Level is debug, info, warn or error. Default info.
	Level string `json:"level,omitzero"`
}

// StaleKeys says what becomes of requests under an API key once the lease is over.
type StaleKeys string

// The choices of StaleKeys.
const (
	RefuseStaleKeys StaleKeys = "refuse"
	ServeStaleKeys  StaleKeys = "serve"
)

// Routed is what an instance that serves routed requests needs beside the rest.
type Routed struct {
	// Store is where configuration and upstreams are read, IP:port. Required.
	Store string `json:"store"`
	// Ready is the listener for readiness checks, IP:port. Required.
	Ready string `json:"ready"`
	// Metrics is the listener for metrics, IP:port. Required.
	Metrics string `json:"metrics"`
	// LocalIP is the IP number that connections to upstreams come from. Default: the
	// kernel chooses.
	LocalIP string `json:"localIP,omitzero"`
	// Lease is the age past which the configuration decides on no API key any more:
	// the time within which a key that was taken away must be refused. Default 5s.
	Lease Duration `json:"lease,omitzero"`
	// StaleKeys chooses, for requests under an API key once the lease is over, between
	// security and going on: "refuse" until the configuration is proved anew, so that no
	// key serves after it was taken away, or "serve" by the newest configuration at hand,
	// so that an outage of the store refuses nobody. Default refuse.
	StaleKeys StaleKeys `json:"staleKeys,omitzero"`
	// LeaveWithin is the time within which an upstream whose leaving is published must get
	// nothing new. Default 2s.
	LeaveWithin Duration `json:"leaveWithin,omitzero"`
	// ProveEvery is the time between two reads that prove the configuration and the list of
	// upstreams: each starts the lease anew, and shows changes that another connection should
	// have brought. Default the half of LeaveWithin, 1.5s at most.
	ProveEvery Duration `json:"proveEvery,omitzero"`
	// InForce is the time within which a published configuration must be in force;
	// past that age nothing is refused for lacking in it. Default 2s.
	InForce Duration `json:"inForce,omitzero"`
	// Settle is the time after a return of the store in which upstreams that lapsed
	// meanwhile come back to the list. Default 2s.
	Settle Duration `json:"settle,omitzero"`
	// UpstreamHeartbeat is the time between two renewals of an upstream's entry in the
	// store. Default 1s.
	UpstreamHeartbeat Duration `json:"upstreamHeartbeat,omitzero"`
	// Grace is the time from the signal to end until the process is killed. Default 8s.
	Grace Duration `json:"grace,omitzero"`
	// RetryShare, RetryExtra and RetryWindow bound what all instances send again to
	// one service: in any window this share of its requests and so many more.
	// Default 0.1, 20 and 10s.
	RetryShare  float64  `json:"retryShare,omitzero"`
	RetryExtra  float64  `json:"retryExtra,omitzero"`
	RetryWindow Duration `json:"retryWindow,omitzero"`
	// QuotaOverage and QuotaSlack are what organisations may pass their quotas by in any
	// QuotaWindow: a share of the quota, and so many tokens more. A half of both is granted;
	// the rest is for instances that start or don't reach each other.
	// Default 0, 0 and 8s.
	QuotaOverage float64  `json:"quotaOverage,omitzero"`
	QuotaSlack   float64  `json:"quotaSlack,omitzero"`
	QuotaWindow  Duration `json:"quotaWindow,omitzero"`
	// Regions are those of the availability zones, by zone: routes and organisations may be bound to
	// some. Upstreams of a zone without one serve what is bound to none.
	Regions map[string]string `json:"regions,omitzero"`
	// EvacuateWithin is the time within which the upstreams of an availability zone whose
	// evacuation is published must get nothing new. Default 5s.
	EvacuateWithin Duration `json:"evacuateWithin,omitzero"`
	// ColdOverage and ColdSlack bound what a cold upstream may get in any second, of all
	// instances: so many times what its service says that it bears, and so many requests more.
	// 0.85 of that is what any upstream gets, since it may have become cold a moment ago; a cold
	// one gets what it bears. Default 0 and 0: only cold ones are limited.
	ColdOverage float64 `json:"coldOverage,omitzero"`
	ColdSlack   float64 `json:"coldSlack,omitzero"`
	// FarCost is what an upstream of another availability zone counts for in time.
	// Default 5ms.
	FarCost Duration `json:"farCost,omitzero"`
	// FarRegionCost is what an upstream of another region counts for in time beside that: about a
	// round trip. Default 30ms.
	FarRegionCost Duration `json:"farRegionCost,omitzero"`
	// Cores is the processor time that the process has, in cores. Instances with more of
	// it schedule for others more often. Default 1.
	Cores float64 `json:"cores,omitzero"`
	// MaxFiles is how many descriptors the process may open. Callers' connections take
	// 0.6 of what is left beside 200 for files; for those beyond, idle ones are closed.
	// Default 4096.
	MaxFiles int `json:"maxFiles,omitzero"`
	// MemoryMB is the memory of the process in MiB; the garbage collector works
	// harder from half of it on. Default 256.
	MemoryMB int `json:"memoryMB,omitzero"`
}

// Load reads and checks a settings file. The error joins every fault found.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings can't be read; name an existing file with --settings: %w", err)
	}
	return Parse(content)
}

// Parse reads and checks settings, and fills in the defaults.
func Parse(content []byte) (*Settings, error) {
	var s Settings
	err := json.Unmarshal(content, &s, json.RejectUnknownMembers(true))
	if err != nil {
		var semantic *json.SemanticError
		if errors.As(err, &semantic) && errors.Is(semantic.Err, json.ErrUnknownName) {
			return nil, fmt.Errorf("%s: is no known setting; remove it or correct its name", semantic.JSONPointer)
		}
		return nil, fmt.Errorf("settings are not valid: %w", err)
	}
	s.Provision()
	return &s, s.Validate()
}

// Faults joins the faults of settings.
type Faults []string

// Error implements error.
func (f Faults) Error() string { return "settings: " + strings.Join(f, "; ") }
