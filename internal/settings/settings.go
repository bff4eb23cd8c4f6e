// Package settings reads the daemon's settings file.
//
// The file is JSON and maps one to one to Settings. Load reports all faults at
// once, each with the path of the field and the remedy.
package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
)

// Duration is a time.Duration that is written as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration; write a number and a unit, such as \"1.5s\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Settings are the settings of one instance of tacktallyd.
type Settings struct {
	// Zone is the availability zone of this instance. Required.
	Zone string `json:"zone"`
	// Callers configures the listener for callers' requests.
	Callers Callers `json:"callers"`
	// Operators configures the listener for the resource API, metrics and health checks.
	Operators Operators `json:"operators"`
	// Peers configures the listener for other instances and the links to them.
	Peers Peers `json:"peers"`
	// Platform is the service from which the configuration and the instance list are read.
	Platform Platform `json:"platform"`
	// Idempotency limits the registry of idempotency keys.
	Idempotency Idempotency `json:"idempotency"`
	// Queue limits the requests that wait.
	Queue Queue `json:"queue"`
	// Upstreams configures calls to engines and services.
	Upstreams Upstreams `json:"upstreams"`
	// Drain configures the graceful shutdown.
	Drain Drain `json:"drain"`
	// Log configures the log.
	Log Log `json:"log"`
	// Routed makes the instance serve routed requests: it reads routes, organisations and
	// upstreams from a store, and ignores platform, operators and idempotency. Default: absent.
	Routed *Routed `json:"routed,omitzero"`
}

// Callers configures the listener for callers.
type Callers struct {
	// Address is the IP:port to listen on. Required.
	Address string `json:"address"`
	// TLS holds the certificate of the listener. Default: absent, plain HTTP.
	TLS *TLS `json:"tls,omitzero"`
	// MaxBodyBytes is the maximum size of a model request's body, in bytes. Default 4194304 (4 MiB).
	MaxBodyBytes int64 `json:"maxBodyBytes,omitzero"`
	// MaxHeaderBytes is the maximum size of a request's header, in bytes. Default 16384 (16 KiB).
	MaxHeaderBytes int `json:"maxHeaderBytes,omitzero"`
	// ReadTimeout is the time within which a caller must send its whole request. Default 15s.
	ReadTimeout Duration `json:"readTimeout,omitzero"`
	// WriteTimeout is the time within which a caller must accept each chunk of a response. Default 30s.
	WriteTimeout Duration `json:"writeTimeout,omitzero"`
	// MaxInFlight is the maximum number of requests in progress. At the limit, a new request
	// displaces a waiting one of a lower tier, or is refused. Default 4096.
	MaxInFlight int `json:"maxInFlight,omitzero"`
}

// Operators configures the listener for operators.
type Operators struct {
	// Address is the IP:port to listen on. Required.
	Address string `json:"address"`
	// TLS holds the certificate of the listener. Default: absent, plain HTTP.
	TLS *TLS `json:"tls,omitzero"`
	// TokenFile is the file with the bearer token that operators send. Required unless the
	// listener is on a loopback address.
	TokenFile string `json:"tokenFile,omitzero"`
}

// Peers configures the listener for other instances and the links to them.
type Peers struct {
	// Address is the IP:port to listen on. Required.
	Address string `json:"address"`
	// Advertise is the IP:port at which peers reach this instance. Default: address.
	Advertise string `json:"advertise,omitzero"`
	// Seeds are the IP:port of peers to link to in addition to those of the instance list. Default: none.
	Seeds []string `json:"seeds,omitzero"`
	// TLS holds the certificate for links in both directions. Peers must present a certificate
	// signed by clientCAFile. Default: absent, no TLS.
	TLS *TLS `json:"tls,omitzero"`
	// Heartbeat is the interval between heartbeats. Default 500ms.
	Heartbeat Duration `json:"heartbeat,omitzero"`
	// SuspectAfter is the time without a message from a peer after which the peer is not used;
	// at least twice the heartbeat. Default 2s.
	SuspectAfter Duration `json:"suspectAfter,omitzero"`
}

// TLS names certificate files. They are read again when they change.
type TLS struct {
	// CertificateFile is the PEM file with the certificate and its chain. Required.
	CertificateFile string `json:"certificateFile"`
	// KeyFile is the PEM file with the private key of the certificate. Required.
	KeyFile string `json:"keyFile"`
	// ClientCAFile is the PEM file with the CA that must have signed the certificates of clients.
	// Required in peers.tls. Default: clients need no certificate.
	ClientCAFile string `json:"clientCAFile,omitzero"`
}

// Platform is the platform's configuration service.
type Platform struct {
	// URL is the address of the service, such as http://10.0.0.2:9000. Required.
	URL string `json:"url"`
	// ConfigKey is the key of the value that holds the document. Default "tacktally".
	ConfigKey string `json:"configKey,omitzero"`
	// Wait is how long one watch call waits for a change. A call that gets no response is
	// detected one second after that. With 3s, 570 instances with two watches each make 380 calls
	// per second. Default 3s.
	Wait Duration `json:"wait,omitzero"`
	// MaxListAge is the age above which an instance that was paused refreshes the instance list
	// before it uses the list. Default 3s.
	MaxListAge Duration `json:"maxListAge,omitzero"`
}

// Idempotency limits the registry of idempotency keys.
type Idempotency struct {
	// KeyLifetime is how long an issued key is valid. Default 10m.
	KeyLifetime Duration `json:"keyLifetime,omitzero"`
	// MaxEntries is the maximum number of keys in use. Default 20000.
	MaxEntries int `json:"maxEntries,omitzero"`
	// MaxAnswerBytes is the maximum size of the stored responses of all keys together, in bytes.
	// Default 8388608 (8 MiB).
	MaxAnswerBytes int64 `json:"maxAnswerBytes,omitzero"`
}

// Queue limits the requests that wait.
type Queue struct {
	// MaxItems is the maximum number of waiting requests of each engine set or service. Default 2000.
	MaxItems int `json:"maxItems,omitzero"`
	// MaxBytes is the maximum size of their bodies together, in bytes. Default 67108864 (64 MiB).
	MaxBytes int64 `json:"maxBytes,omitzero"`
}

// Upstreams configures calls to engines and services.
type Upstreams struct {
	// ConnectTimeout is the time within which a connection must be established. Default 1s.
	ConnectTimeout Duration `json:"connectTimeout,omitzero"`
	// RetryBudget is the number of retries allowed as a share of first attempts, from 0 to 1.
	// Default 0.1.
	RetryBudget float64 `json:"retryBudget,omitzero"`
	// Subset is the approximate number of upstreams of a set that an instance uses, if its
	// availability zone has more. Default 48.
	Subset int `json:"subset,omitzero"`
	// WeightLoadsPerMinute is the maximum number of orders to load weights that this
	// availability zone sends per minute. Default 6.
	WeightLoadsPerMinute int `json:"weightLoadsPerMinute,omitzero"`
}

// Drain configures the graceful shutdown.
type Drain struct {
	// Timeout is the time after which requests still in progress are aborted, with a response that
	// says so; the instance ends within 0.5 s more. Default 0: waits until the last of their
	// deadlines.
	Timeout Duration `json:"timeout,omitzero"`
}

// Log configures the log.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error. Default info.
	Level string `json:"level,omitzero"`
}

// StaleKeys selects what happens to requests with an API key after the lease of the configuration
// has expired.
type StaleKeys string

// Values of StaleKeys.
const (
	RefuseStaleKeys StaleKeys = "refuse"
	ServeStaleKeys  StaleKeys = "serve"
)

// Routed configures an instance that serves routed requests.
type Routed struct {
	// Store is the IP:port of the store with the configuration and the upstreams. Required.
	Store string `json:"store"`
	// Ready is the IP:port to listen on for readiness checks. Required.
	Ready string `json:"ready"`
	// Metrics is the IP:port to listen on for metrics. Required.
	Metrics string `json:"metrics"`
	// LocalIP is the source address of connections to upstreams. Default: chosen by the kernel.
	LocalIP string `json:"localIP,omitzero"`
	// Lease is how long the configuration may be used to accept API keys after it was last
	// confirmed: the time within which a removed key must be refused. Default 5s.
	Lease Duration `json:"lease,omitzero"`
	// StaleKeys selects what happens to requests with an API key after the lease has expired.
	// "refuse" refuses them until the configuration is confirmed again, so that no removed key is
	// accepted; "serve" serves them by the newest known configuration, so that an outage of the
	// store causes no refusals. Default "refuse".
	StaleKeys StaleKeys `json:"staleKeys,omitzero"`
	// LeaveWithin is the time from the publication of an upstream's leaving after which it must get
	// no new requests. Default 2s.
	LeaveWithin Duration `json:"leaveWithin,omitzero"`
	// ProveEvery is the interval between reads that confirm the configuration and the list of
	// upstreams. Each read renews the lease, and finds changes that another connection failed to
	// deliver. It must be below lease, leaveWithin and evacuateWithin. Default: half of
	// leaveWithin, at most 1.5s.
	ProveEvery Duration `json:"proveEvery,omitzero"`
	// InForce is the time within which a published configuration must be in force. While the
	// configuration is older, a request is not refused for an entry that it lacks; its caller is
	// asked to retry. Default 2s.
	InForce Duration `json:"inForce,omitzero"`
	// Settle is the time, after the store has become reachable again, in which upstreams whose
	// entries lapsed during the outage may register again. Default 2s.
	Settle Duration `json:"settle,omitzero"`
	// UpstreamHeartbeat is the interval at which an upstream renews its entry in the store. Default 1s.
	UpstreamHeartbeat Duration `json:"upstreamHeartbeat,omitzero"`
	// Grace is the time from the signal to stop until the process is killed. Default 8s.
	Grace Duration `json:"grace,omitzero"`
	// RetryShare is the share of a service's requests that all instances together may retry within
	// any retryWindow, in addition to retryExtra; from 0 to 1. Default 0.1.
	RetryShare float64 `json:"retryShare,omitzero"`
	// RetryExtra is the number of retries to a service that are allowed within any retryWindow in
	// addition to retryShare. Default 20.
	RetryExtra float64 `json:"retryExtra,omitzero"`
	// RetryWindow is the period to which retryShare and retryExtra apply. Default 10s.
	RetryWindow Duration `json:"retryWindow,omitzero"`
	// QuotaOverage is how far an organisation may exceed its quota within any quotaWindow, as a
	// share of the quota, in addition to quotaSlack. 0.35 of both is granted; the rest is
	// reserved for instances that are starting or can't reach each other. Default 0.
	QuotaOverage float64 `json:"quotaOverage,omitzero"`
	// QuotaSlack is how far an organisation may exceed its quota within any quotaWindow in addition
	// to quotaOverage, in tokens. Default 0.
	QuotaSlack float64 `json:"quotaSlack,omitzero"`
	// QuotaWindow is the period to which quotaOverage and quotaSlack apply. Default 8s.
	QuotaWindow Duration `json:"quotaWindow,omitzero"`
	// Regions maps availability zones to their regions. Routes and organisations may be restricted
	// to regions; upstreams of a zone without a region serve only unrestricted requests.
	// Default: none.
	Regions map[string]string `json:"regions,omitzero"`
	// EvacuateWithin is the time from the publication of an availability zone's evacuation after
	// which the upstreams of the zone must get no new requests. Default 5s.
	EvacuateWithin Duration `json:"evacuateWithin,omitzero"`
	// ColdOverage limits the requests that a cold upstream gets from all instances in any second:
	// to this multiple of the cold-start rate of its service, plus coldSlack. Any upstream
	// gets at most 0.8 of the limit, since it may have become cold a moment ago; a cold one gets
	// at most its cold-start rate. Default 0: with both 0, only cold upstreams are limited.
	ColdOverage float64 `json:"coldOverage,omitzero"`
	// ColdSlack is the number of requests per second that the limit of coldOverage allows in addition.
	// Default 0.
	ColdSlack float64 `json:"coldSlack,omitzero"`
	// FarCost is the time that is added to the expected response time of upstreams in other
	// availability zones when an upstream is chosen. Default 5ms.
	FarCost Duration `json:"farCost,omitzero"`
	// FarRegionCost is the time that is added for upstreams in other regions, in addition to
	// farCost; about one round trip. Default 30ms.
	FarRegionCost Duration `json:"farRegionCost,omitzero"`
	// Cores is the processor time of the process, in cores. Instances with more cores schedule
	// for others more often. Default 1.
	Cores float64 `json:"cores,omitzero"`
	// MaxFiles is the maximum number of file descriptors of the process. 200 are reserved for
	// other uses; callers' connections may use 0.6 of the rest. Beyond that, idle connections are
	// closed to admit new ones. Default 4096.
	MaxFiles int `json:"maxFiles,omitzero"`
	// MemoryMB is the memory of the process, in MiB. The garbage collector runs more often once
	// half of it is in use. An eighth of it bounds what all requests together hold of unfinished
	// responses, and a quarter their bodies. Default 256.
	MemoryMB int `json:"memoryMB,omitzero"`
	// Relay lets instances that can't reach an upstream over their own network path send requests to it
	// through peers that can, and relay such connections for their peers. Default false.
	Relay bool `json:"relay,omitzero"`
	// ShedConnections closes new connections of callers without reading them while the process uses most of its
	// cores, so that what was read is served; their callers try another instance. Meanwhile time-outs aren't held
	// against upstreams. It needs cores to be the processor time that the process really has. Default false.
	ShedConnections bool `json:"shedConnections,omitzero"`
	// Overload selects decisions for times in which upstreams are short of capacity.
	Overload Overload `json:"overload,omitzero"`
}

// Overload are the settings for times in which upstreams are short of capacity. All are off by
// default. docs/HARD-LOAD.md has the reasons.
type Overload struct {
	// RetrySchedule spreads the retry times of refused callers over the time that they can wait, if
	// an early retry would likely be refused as well. Default false.
	RetrySchedule bool `json:"retrySchedule,omitzero"`
	// MaxBacklog is the greatest number of requests that may wait at an upstream for a slot, so that
	// its slots aren't idle between two requests. It applies to upstreams that report their load, as
	// far as the expected wait is at most 200 ms and the latency objective can still be met.
	// Default 0.
	MaxBacklog int `json:"maxBacklog,omitzero"`
	// WaitForObjective lets requests without token counts wait for as long as their response would
	// still meet the latency objective, up to half of it, instead of 0.22 of it. Default false.
	WaitForObjective bool `json:"waitForObjective,omitzero"`
}

// Load reads and checks a settings file and fills in the defaults. The error lists all faults.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("the settings file can't be read; name an existing file with --settings: %w", err)
	}
	return Parse(content)
}

// Parse decodes and checks settings and fills in the defaults. The error lists all faults.
func Parse(content []byte) (*Settings, error) {
	var s Settings
	err := json.Unmarshal(content, &s, json.RejectUnknownMembers(true))
	if err != nil {
		var semantic *json.SemanticError
		if errors.As(err, &semantic) && errors.Is(semantic.Err, json.ErrUnknownName) {
			return nil, fmt.Errorf("%s: unknown setting; remove it or correct its name", semantic.JSONPointer)
		}
		return nil, fmt.Errorf("settings are not valid: %w", err)
	}
	s.Provision()
	return &s, s.Validate()
}

// Faults are the faults of settings, each with the path of the field and the remedy.
type Faults []string

// Error implements error.
func (f Faults) Error() string { return "settings: " + strings.Join(f, "; ") }
