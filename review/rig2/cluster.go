package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/tacktally/tacktally/platform/standin"
)

// daemonProgram is the program that deploy/system.toml starts, relative to the root of the repository.
const daemonProgram = "target/tacktallyd"

// Bounds of a small deployment, as its site file states them.
const (
	drainTime     = 2 * time.Second
	revokeTime    = 5 * time.Second
	graceTime     = 8 * time.Second
	upstreamBeats = 1200 * time.Millisecond
)

// Services of the deployment.
const (
	desk     = "desk"     // model workers
	dispatch = "dispatch" // the application
)

// host is the Host of all requests, and apiKey the key of the only tenant.
const (
	host   = "desk.example"
	apiKey = "key-of-the-desk"
	tenant = "movers"
)

// cluster is a small deployment on loopback: a store, daemons and workers.
type cluster struct {
	record  *record
	store   *standin.Store
	folder  string // temporary
	daemons []*daemon
}

// newCluster starts a store and as many daemons, in two availability zones by turns.
func newCluster(r *record, daemons int, configuration string) (*cluster, error) {
	folder, err := os.MkdirTemp("", "tacktally-review-")
	if err != nil {
		return nil, err
	}
	started.addFolder(folder)
	c := &cluster{record: r, store: standin.New(), folder: folder}
	c.store.Put("op/config", configuration)
	var seeds []string
	for i := range daemons {
		d := &daemon{number: i, zone: zones[i%len(zones)], folder: folder, record: r}
		if err := d.allocate(); err != nil {
			return c, err
		}
		c.daemons = append(c.daemons, d)
		if len(seeds) < 3 {
			seeds = append(seeds, d.control)
		}
	}
	for _, d := range c.daemons {
		if err := d.writeSettings(c.store.Address(), seeds); err != nil {
			return c, err
		}
		if err := d.start(); err != nil {
			return c, err
		}
	}
	return c, nil
}

// stop ends all processes and removes the temporary folder.
func (c *cluster) stop() {
	for _, d := range c.daemons {
		d.kill()
	}
	c.store.Close()
	_ = os.RemoveAll(c.folder)
}

var zones = []string{"bole", "merkato"}

// daemon is one process of the system.
type daemon struct {
	number                         int
	zone, folder                   string
	front, ready, control, metrics string
	settings                       string
	record                         *record

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

func (d *daemon) allocate() (err error) {
	for _, address := range []*string{&d.front, &d.ready, &d.control, &d.metrics} {
		if *address, err = freeAddress(); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes what deploy/settings.template renders for a small deployment.
func (d *daemon) writeSettings(store string, seeds []string) error {
	d.settings = filepath.Join(d.folder, fmt.Sprintf("settings-%d.json", d.number))
	content, err := json.Marshal(map[string]any{
		"zone":      d.zone,
		"callers":   map[string]any{"address": d.front},
		"peers":     map[string]any{"address": d.control, "seeds": seeds},
		"upstreams": map[string]any{"connectTimeout": "300ms"},
		"routed": map[string]any{
			"store": store, "ready": d.ready, "metrics": d.metrics,
			"lease": revokeTime.String(), "staleKeys": "refuse", "leaveWithin": drainTime.String(), "inForce": "2000ms",
			"upstreamHeartbeat": upstreamBeats.String(), "grace": graceTime.String(),
			"retryShare": 0.2, "retryExtra": 52, "retryWindow": "10s",
			"quotaOverage": 0.25, "quotaSlack": 140000, "quotaWindow": "8s",
			"regions": map[string]string{zones[0]: "addis", zones[1]: "addis"},
			"cores":   0.4, "shedConnections": true, "maxFiles": 4200, "memoryMB": 284,
			"overload": map[string]any{"maxBacklog": 2}, "relay": true, "localIP": "127.0.0.1",
		},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(d.settings, content, 0o600)
}

func (d *daemon) start() error {
	log, err := os.OpenFile(d.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.command = exec.Command(daemonProgram, "--settings", d.settings)
	d.command.Stdout, d.command.Stderr = log, log
	if err := started.start(d.command); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		started.wait(c)
		close(ended)
	}(d.command, d.ended)
	d.record.add("daemon %d started", d.number)
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.ended:
	default:
		d.record.add("daemon %d gets signal %v", d.number, s)
		_ = d.command.Process.Signal(s) // it may have just ended
	}
}

// kill ends the process and waits until it has ended.
func (d *daemon) kill() {
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	if ended == nil {
		return // it was never started
	}
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	<-ended
}

// awaitReady waits until the daemon answers a readiness check with 200.
func (d *daemon) awaitReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		a := get(d.ready, "/tacktally/readyz")
		if a == 200 {
			return true
		}
	}
	return false
}

func (d *daemon) logPath() string {
	return filepath.Join(d.folder, fmt.Sprintf("daemon-%d.log", d.number))
}

// maxRecordedLog bounds what recordLog adds, in bytes.
const maxRecordedLog = 2000

// recordLog adds the end of the daemon's log to the record.
func (d *daemon) recordLog() {
	content, err := os.ReadFile(d.logPath())
	if err != nil {
		d.record.add("the log of daemon %d can't be read: %v", d.number, err)
		return
	}
	d.record.add("the end of the log of daemon %d: %s", d.number, content[max(len(content)-maxRecordedLog, 0):])
}
