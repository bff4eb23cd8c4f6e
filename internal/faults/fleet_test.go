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

// roleVariable makes the test binary run as a daemon with the settings it names.
const roleVariable = "TACKTALLY_TEST_SETTINGS"

func TestMain(m *testing.M) {
	if path := os.Getenv(roleVariable); path != "" {
		os.Exit(runDaemon(path))
	}
	if role := os.Getenv(standInVariable); role != "" {
		os.Exit(runStandIn(role, os.Getenv(addressVariable)))
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
	apiKey     = "key-of-wijesinghe"
	otherKey   = "key-of-gebremedhin"
	claims     = "claims"
	readers    = "readers"
	modelName  = "dossier"
	patience   = 20 * time.Second
	pollPeriod = 5 * time.Millisecond
)

// fleet is daemons in processes of their own before stand-ins in this one.
type fleet struct {
	t        testing.TB
	network  string // first three numbers of its addresses
	platform *standinplatform.Service
	service  *service.Service
	engine   *engine.Server
	daemons  []*process
	list     []platform.Instance
	client   *http.Client
}

// process is one daemon.
type process struct {
	fleet    *fleet
	ip       string
	zone     string
	command  *exec.Cmd
	exited   chan struct{}
	peerWire *wire.Relay // others reach its peer listener through this
	platWire *wire.Relay // it reaches the platform through this
	log      *os.File
	tune     func(*settings.Settings)
}

var networks atomic.Int32

// newFleet starts one daemon for each zone named, each with upstreams of its zone.
func newFleet(t testing.TB, zones ...string) *fleet {
	return newTunedFleet(t, nil, zones...)
}

func newTunedFleet(t testing.TB, tune func(*settings.Settings), zones ...string) *fleet {
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
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience},
	}
	t.Cleanup(f.engine.Close)
	platformAt := f.serve(f.ip(1)+":9000", f.platform)
	seen := map[string]bool{}
	for i, zone := range zones {
		p := &process{fleet: f, ip: f.ip(10 + i), zone: zone, tune: tune}
		p.peerWire = f.relay(p.ip+":7004", p.ip+":7003")
		p.platWire = f.relay(p.ip+":7005", platformAt)
		f.daemons = append(f.daemons, p)
		f.list = append(f.list, platform.Instance{Address: p.ip + ":7004", Zone: zone, State: platform.Live})
		if !seen[zone] {
			seen[zone] = true
			f.list = append(f.list,
				platform.Instance{Address: f.serve(f.ip(100+i)+":9001", f.service), Zone: zone, Set: claims, State: platform.Live},
				platform.Instance{Address: f.serve(f.ip(100+i)+":9002", f.engine), Zone: zone, Set: readers, State: platform.Live})
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

func (f *fleet) relay(address, target string) *wire.Relay {
	r, err := wire.Listen(address, target)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(r.Close)
	return r
}

// document is the configuration; note sets revisions apart.
func document(note string) []byte { return documentWith(note, api.EngineSetSpec{}) }

// documentWith adds to the engine set what a test declares of it.
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
		EngineSets: []api.EngineSet{{Metadata: api.Metadata{Name: readers}, Spec: set}},
		Services:   []api.Service{{Metadata: api.Metadata{Name: claims}, Spec: api.ServiceSpec{NonIdempotent: []string{"POST /release"}, MaxBodyBytes: 16 << 20}}},
	})
	if err != nil {
		panic(err)
	}
	return content
}

func (f *fleet) publish(revision int64) { f.platform.Publish(revision, document(fmt.Sprint(revision))) }

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
	if p.tune != nil {
		p.tune(s)
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
	p.command.Env = append(os.Environ(), roleVariable+"="+path)
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

// end kills the process, and shows its log when the test failed.
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

// selfCommand runs this binary again. The process ends with the test.
func selfCommand() *exec.Cmd {
	c := exec.Command(os.Args[0])
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return c
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) wake()   { p.signal(syscall.SIGCONT) }

// eventually waits until a condition on another process holds.
func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	limit := time.NewTimer(patience)
	defer limit.Stop()
	tick := time.NewTicker(pollPeriod)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-limit.C:
			f.t.Fatalf("never came about: %s", what)
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

// status is what the tests read of an instance.
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
	p.read("/v1/status", &s)
	return s
}

func (p *process) reachable() int {
	n := 0
	for _, q := range p.status().Peers {
		if q.Reachable {
			n++
		}
	}
	return n
}

func (f *fleet) waitLinked() {
	f.t.Helper()
	for _, p := range f.daemons {
		f.eventually(p.ip+" reaches its peers", func() bool { return p.reachable() == len(f.daemons)-1 })
	}
}

// cut separates two daemons, silently.
func cut(a, b *process) {
	a.peerWire.Partition(b.ip)
	b.peerWire.Partition(a.ip)
}

func heal(a, b *process) {
	a.peerWire.Heal(b.ip)
	b.peerWire.Heal(a.ip)
}

// reply is an answer as a caller got it.
type reply struct {
	status  int
	body    string
	problem api.Problem
	header  http.Header
	outcome api.Outcome
	whole   bool
}

// call is one request of a caller.
type call struct {
	path    string
	body    string
	apiKey  string
	key     string
	attempt string
	timeout time.Duration
	// hasty callers give up soon after the timeout, since the instance may be frozen
	// or cut off; others wait for its answer.
	hasty  bool
	tier   string
	header map[string]string
}

// send sends a request to a daemon and reads the whole answer. The reply of a
// daemon that doesn't answer is empty.
func (p *process) send(c call) reply {
	h, err := http.NewRequest(http.MethodPost, "http://"+p.ip+":7001"+c.path, bytes.NewReader([]byte(c.body)))
	if err != nil {
		return reply{}
	}
	h.GetBody = nil // net/http must not repeat it by itself
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
	if c.hasty {
		client = &http.Client{Transport: client.Transport, Timeout: c.timeout + 300*time.Millisecond}
	}
	r, err := client.Do(h)
	if err != nil {
		return reply{}
	}
	defer r.Body.Close()
	content, err := io.ReadAll(r.Body)
	out := reply{status: r.StatusCode, body: string(content), header: r.Header, whole: err == nil, outcome: api.Outcome(r.Header.Get(api.HeaderOutcome))}
	if last := r.Trailer.Get(api.HeaderOutcome); last != "" {
		out.outcome = api.Outcome(last)
	}
	if r.Header.Get("Content-Type") == api.ProblemContentType {
		_ = json.Unmarshal(content, &out.problem)
	}
	if !out.whole {
		out.outcome = ""
	}
	return out
}

// issue gets an issued key from a daemon.
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

// read gets a page of a daemon's resource API.
func (p *process) read(path string, into any) {
	r, err := p.fleet.client.Get("http://" + p.ip + ":7002" + path)
	if err != nil {
		return
	}
	defer r.Body.Close()
	_ = json.UnmarshalRead(r.Body, into)
}

// startSecure adds a daemon whose listeners may speak TLS, and doesn't wait for it.
func (f *fleet) startSecure(tune func(*settings.Settings)) {
	p := &process{fleet: f, ip: f.ip(10), zone: "fort", tune: tune}
	p.peerWire = f.relay(p.ip+":7004", p.ip+":7003")
	p.platWire = f.relay(p.ip+":7005", f.ip(1)+":9000")
	f.daemons = append(f.daemons, p)
	p.start()
}
