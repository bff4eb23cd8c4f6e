package faults

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/config"
	"github.com/tacktally/tacktally/internal/daemon"
	"github.com/tacktally/tacktally/internal/platform"
	"github.com/tacktally/tacktally/internal/settings"
	"github.com/tacktally/tacktally/internal/standin/engine"
	standinplatform "github.com/tacktally/tacktally/internal/standin/platform"
	"github.com/tacktally/tacktally/internal/standin/service"
	"github.com/tacktally/tacktally/internal/standin/wire"
)

// settingsVariable is the environment variable that makes the test binary run as a daemon, with the
// settings file that it names.
const settingsVariable = "TACKTALLY_TEST_SETTINGS"

func TestMain(m *testing.M) {
	if path := os.Getenv(settingsVariable); path != "" {
		os.Exit(runDaemon(path))
	}
	if role := os.Getenv(fakeRoleVariable); role != "" {
		os.Exit(runFake(role, os.Getenv(addressVariable)))
	}
	os.Exit(m.Run())
}

func runDaemon(path string) int {
	s, err := settings.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	d, err := daemon.New(s, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	d.Run(ctx)
	return 0
}

const (
	apiKey        = "key-of-wijesinghe"
	otherKey      = "key-of-gebremedhin"
	claimsService = "claims"
	readerEngines = "readers"
	modelName     = "dossier"
	testTimeout   = 20 * time.Second
	pollInterval  = 5 * time.Millisecond
)

// fleet holds daemons that run as separate processes, and the fakes in this process that they use.
type fleet struct {
	t        testing.TB
	network  string // the first three numbers of its IP addresses, with a final dot
	platform *standinplatform.Service
	service  *service.Service
	engine   *engine.Server
	daemons  []*process
	list     []platform.Instance
	client   *http.Client
}

// process is a daemon that runs as a separate process.
type process struct {
	fleet         *fleet
	ip            string
	zone          string
	command       *exec.Cmd
	exited        chan struct{}
	peerRelay     *wire.Relay // on the network path of peers to its peer listener
	platformRelay *wire.Relay // on its network path to the platform
	log           *os.File
	configure     func(*settings.Settings)
}

var networks atomic.Int32

// newFleet starts one daemon for each given zone, and one service and one engine for each distinct zone.
// It blocks until the daemons are ready and linked.
func newFleet(t testing.TB, zones ...string) *fleet {
	return newConfiguredFleet(t, nil, zones...)
}

// newConfiguredFleet is newFleet with a function that modifies the settings of each daemon. It may be
// nil.
func newConfiguredFleet(t testing.TB, configure func(*settings.Settings), zones ...string) *fleet {
	t.Helper()
	n := networks.Add(1)
	f := &fleet{
		t:        t,
		network:  fmt.Sprintf("127.%d.%d.", 16+os.Getpid()%200, n%256),
		platform: standinplatform.New(),
		service:  service.New(),
		engine: engine.NewServer(engine.Spec{
			PrefillPerSecond: 1e6, StepBase: time.Millisecond, Slots: 64, ChunkTokens: 4096, CacheBlocks: 64,
		}),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout},
	}
	t.Cleanup(f.engine.Close)
	platformAddress := f.serve(f.ip(1)+":9000", f.platform)
	seen := map[string]bool{}
	for i, zone := range zones {
		p := &process{fleet: f, ip: f.ip(10 + i), zone: zone, configure: configure}
		p.peerRelay = f.relay(p.ip+":7004", p.ip+":7003")
		p.platformRelay = f.relay(p.ip+":7005", platformAddress)
		f.daemons = append(f.daemons, p)
		f.list = append(f.list, platform.Instance{Address: p.ip + ":7004", Zone: zone, State: platform.Live})
		if !seen[zone] {
			seen[zone] = true
			f.list = append(f.list,
				platform.Instance{Address: f.serve(f.ip(100+i)+":9001", f.service), Zone: zone, Set: claimsService, State: platform.Live},
				platform.Instance{Address: f.serve(f.ip(100+i)+":9002", f.engine), Zone: zone, Set: readerEngines, State: platform.Live})
		}
	}
	f.publish(1)
	f.platform.SetInstances(f.list)
	for _, p := range f.daemons {
		p.start()
	}
	for _, p := range f.daemons {
		p.waitReady()
	}
	f.waitLinked()
	return f
}

func (f *fleet) ip(last int) string { return f.network + fmt.Sprint(last) }

// serve starts an HTTP server at an address until the test ends.
func (f *fleet) serve(address string, h http.Handler) string {
	l, err := net.Listen("tcp", address)
	if err != nil {
		f.t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go s.Serve(l) //nolint:errcheck // ends with Close
	f.t.Cleanup(func() { s.Close() })
	return address
}

// relay starts a relay from an address to a target until the test ends.
func (f *fleet) relay(address, target string) *wire.Relay {
	r, err := wire.Listen(address, target)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(r.Close)
	return r
}

// document returns the configuration; note makes the content of a revision unique.
func document(note string) []byte { return documentWith(note, api.EngineSetSpec{}) }

// documentWith returns the configuration with the given spec of the engine set.
func documentWith(note string, set api.EngineSetSpec) []byte {
	set.Models, set.MaxPromptTokens, set.MaxOutputTokens = []string{modelName}, 100_000, 100
	tier := func(name string, rank int) api.Tier {
		return api.Tier{Metadata: api.Metadata{Name: name}, Spec: api.TierSpec{Rank: rank, TimeoutMillis: 10_000}}
	}
	content, err := json.Marshal(&api.Document{
		Organisations: []api.Organisation{
			{Metadata: api.Metadata{Name: "wijesinghe"}, Spec: api.OrganisationSpec{
				APIKeyHashes: []string{config.HashAPIKey(apiKey)}, Tiers: []string{"counter", "desk"}, CallerChosenIDs: api.CallerIDsFirstAttempt,
			}},
			{Metadata: api.Metadata{Name: "gebremedhin"}, Spec: api.OrganisationSpec{
				APIKeyHashes: []string{config.HashAPIKey(otherKey)}, Tiers: []string{"desk"},
			}},
		},
		Tiers:      []api.Tier{tier("counter", 0), tier("desk", 1), tier("note-"+note, 2)},
		EngineSets: []api.EngineSet{{Metadata: api.Metadata{Name: readerEngines}, Spec: set}},
		Services:   []api.Service{{Metadata: api.Metadata{Name: claimsService}, Spec: api.ServiceSpec{NonIdempotent: []string{"POST /release"}, MaxBodyBytes: 16 << 20}}},
	})
	if err != nil {
		panic(err)
	}
	return content
}

// publish publishes the configuration under a revision.
func (f *fleet) publish(revision int64) { f.platform.Publish(revision, document(fmt.Sprint(revision))) }

// start starts the daemon. It is killed when the test ends.
func (p *process) start() {
	t := p.fleet.t
	t.Helper()
	s := &settings.Settings{
		Zone:      p.zone,
		Callers:   settings.Callers{Address: p.ip + ":7001"},
		Operators: settings.Operators{Address: p.ip + ":7002"},
		Peers: settings.Peers{
			Address: p.ip + ":7003", Advertise: p.ip + ":7004",
			Heartbeat: settings.Duration(50 * time.Millisecond), SuspectAfter: settings.Duration(400 * time.Millisecond),
		},
		Platform: settings.Platform{URL: "http://" + p.ip + ":7005", Wait: settings.Duration(time.Second)},
		Log:      settings.Log{Level: "debug"},
	}
	for _, q := range p.fleet.daemons {
		s.Peers.Seeds = append(s.Peers.Seeds, q.ip+":7004")
	}
	if p.configure != nil {
		p.configure(s)
	}
	content, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	p.log, err = os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	p.command = selfCommand()
	p.command.Env = append(os.Environ(), settingsVariable+"="+path)
	p.command.Stderr = p.log
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	p.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		close(exited)
	}(p.command, p.exited)
	t.Cleanup(p.end)
}

// end kills the process, and logs its output if the test failed.
func (p *process) end() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.exited
	p.log.Close()
	if p.fleet.t.Failed() {
		content, _ := os.ReadFile(p.log.Name())
		p.fleet.t.Logf("log of %s:\n%s", p.ip, content)
	}
}

// selfCommand returns a command that runs this test binary. The kernel kills its process when this one
// ends.
func selfCommand() *exec.Cmd {
	c := exec.Command(os.Args[0])
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return c
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// kill kills the process and blocks until it has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// eventually polls until a condition holds, and fails the test after testTimeout.
func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	timeout := time.NewTimer(testTimeout)
	defer timeout.Stop()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-timeout.C:
			f.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func (p *process) waitReady() {
	p.fleet.t.Helper()
	p.fleet.eventually(p.ip+" is ready", func() bool {
		r, err := p.fleet.client.Get("http://" + p.ip + ":7002/readyz")
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == http.StatusOK
	})
}

// status holds the fields of an instance's status that the tests use.
type status struct {
	Revision    int64 `json:"revision"`
	ListVersion int64 `json:"listVersion"`
	InFlight    int   `json:"inFlight"`
	Draining    bool  `json:"draining"`
	Peers       []struct {
		Address   string `json:"address"`
		Reachable bool   `json:"reachable"`
	} `json:"peers"`
}

func (p *process) status() (s status) {
	p.getResource("/v1/status", &s)
	return s
}

// reachable returns the number of peers that the daemon reports as reachable.
func (p *process) reachable() int {
	n := 0
	for _, q := range p.status().Peers {
		if q.Reachable {
			n++
		}
	}
	return n
}

// waitLinked blocks until every daemon reaches all others.
func (f *fleet) waitLinked() {
	f.t.Helper()
	for _, p := range f.daemons {
		f.eventually(p.ip+" reaches its peers", func() bool { return p.reachable() == len(f.daemons)-1 })
	}
}

// partition drops all traffic between two daemons, without closing their connections.
func partition(a, b *process) {
	a.peerRelay.Partition(b.ip)
	b.peerRelay.Partition(a.ip)
}

func heal(a, b *process) {
	a.peerRelay.Heal(b.ip)
	b.peerRelay.Heal(a.ip)
}

// reply is a response as the caller received it.
type reply struct {
	status   int
	body     string
	problem  api.Problem
	header   http.Header
	outcome  api.Outcome
	complete bool
	// endStated reports that the response had a length or chunks, or no body.
	endStated bool
}

// call is one request of a caller.
type call struct {
	path    string
	body    string
	apiKey  string
	key     string
	attempt string
	timeout time.Duration
	// clientTimeout makes the caller give up 300 ms after the timeout, since the instance may be
	// frozen or partitioned. Other callers wait for the response.
	clientTimeout bool
	tier          string
	header        map[string]string
}

// send sends a request to a daemon and reads the response. The reply is empty if no response arrives.
func (p *process) send(c call) reply {
	h, err := http.NewRequest(http.MethodPost, "http://"+p.ip+":7001"+c.path, bytes.NewReader([]byte(c.body)))
	if err != nil {
		return reply{}
	}
	h.GetBody = nil // net/http must not retry on its own
	key := c.apiKey
	if key == "" {
		key = apiKey
	}
	h.Header.Set("Authorization", "Bearer "+key)
	set := func(name, value string) {
		if value != "" {
			h.Header.Set(name, value)
		}
	}
	set(api.HeaderIdempotencyKey, c.key)
	set(api.HeaderAttempt, c.attempt)
	set(api.HeaderTier, c.tier)
	for name, value := range c.header {
		set(name, value)
	}
	client := p.fleet.client
	if c.timeout > 0 {
		set(api.HeaderTimeout, c.timeout.String())
	}
	if c.clientTimeout {
		client = &http.Client{Transport: client.Transport, Timeout: c.timeout + 300*time.Millisecond}
	}
	r, err := client.Do(h)
	if err != nil {
		return reply{}
	}
	defer r.Body.Close()
	content, err := io.ReadAll(r.Body)
	out := reply{status: r.StatusCode, body: string(content), header: r.Header, complete: err == nil, endStated: r.ContentLength >= 0 || len(r.TransferEncoding) > 0, outcome: api.Outcome(r.Header.Get(api.HeaderOutcome))}
	if last := r.Trailer.Get(api.HeaderOutcome); last != "" {
		out.outcome = api.Outcome(last)
	}
	if r.Header.Get("Content-Type") == api.ProblemContentType {
		_ = json.Unmarshal(content, &out.problem)
	}
	if !out.complete {
		out.outcome = ""
	}
	return out
}

// issue requests an idempotency key from a daemon.
func (p *process) issue() string {
	p.fleet.t.Helper()
	h, err := http.NewRequest(http.MethodPost, "http://"+p.ip+":7001/v1/idempotency-keys", nil)
	if err != nil {
		p.fleet.t.Fatal(err)
	}
	h.Header.Set("Authorization", "Bearer "+apiKey)
	r, err := p.fleet.client.Do(h)
	if err != nil {
		p.fleet.t.Fatal(err)
	}
	defer r.Body.Close()
	var list struct {
		Keys []string `json:"keys"`
	}
	if err := json.UnmarshalRead(r.Body, &list); err != nil || len(list.Keys) != 1 {
		p.fleet.t.Fatalf("no key issued: %v %d", err, r.StatusCode)
	}
	return list.Keys[0]
}

// getResource gets a path of the daemon's operators' API. It leaves into unchanged on failure.
func (p *process) getResource(path string, into any) {
	r, err := p.fleet.client.Get("http://" + p.ip + ":7002" + path)
	if err != nil {
		return
	}
	defer r.Body.Close()
	_ = json.UnmarshalRead(r.Body, into)
}

// startConfigured adds a daemon with modified settings, such as TLS listeners, and doesn't wait until it
// is ready.
func (f *fleet) startConfigured(configure func(*settings.Settings)) {
	p := &process{fleet: f, ip: f.ip(10), zone: "fort", configure: configure}
	p.peerRelay = f.relay(p.ip+":7004", p.ip+":7003")
	p.platformRelay = f.relay(p.ip+":7005", f.ip(1)+":9000")
	f.daemons = append(f.daemons, p)
	p.start()
}
