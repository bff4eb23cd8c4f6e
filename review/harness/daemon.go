package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The figures of a front machine of sites/gmb-addis.toml.
const (
	memoryMB = 284
	maxFiles = 4200
	cores    = 0.4
)

const (
	// restartDelay is the platform's delay before it starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// memoryInterval is how often the memory of a process is read.
	memoryInterval = 5 * time.Millisecond
	pageSize       = 4096
)

// daemon is one front machine: a process of the system, which the platform starts again when it ends,
// and kills when it exceeds its memory.
type daemon struct {
	name, settings string
	callers, ready string
	program        string
	record         *record
	log            *os.File
	mu             sync.Mutex
	process        *os.Process
	stopping       bool
	starts         int
	killedAt       []time.Time
	highestMB      int
	supervised     chan struct{}
}

// addresses are the addresses of one daemon on a loopback IP.
type addresses struct{ ip, callers, ready, peers, metrics string }

// freeAddresses returns free addresses on a loopback IP.
func freeAddresses(ip string) (addresses, error) {
	var list []string
	for range 4 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return addresses{}, err
		}
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return addresses{ip, list[0], list[1], list[2], list[3]}, nil
}

// settingsOf returns the settings as deploy/settings.template renders them on a machine of
// sites/gmb-addis.toml, with free ports.
func settingsOf(a addresses, zone, store string, seeds []string) map[string]any {
	return map[string]any{
		"zone":      zone,
		"callers":   map[string]any{"address": a.callers},
		"peers":     map[string]any{"address": a.peers, "seeds": seeds},
		"upstreams": map[string]any{"connectTimeout": "300ms"},
		"routed": map[string]any{
			"store":             store,
			"ready":             a.ready,
			"metrics":           a.metrics,
			"lease":             "5000ms",
			"staleKeys":         "refuse",
			"leaveWithin":       "2000ms",
			"inForce":           "2000ms",
			"upstreamHeartbeat": "1200ms",
			"grace":             "8s",
			"retryShare":        0.2,
			"retryExtra":        52,
			"retryWindow":       "10s",
			"quotaOverage":      0.25,
			"quotaSlack":        140000,
			"quotaWindow":       "8s",
			"regions":           map[string]string{"bole": "addis", "merkato": "addis", "kazanchis": "addis", "piassa": "addis"},
			"cores":             cores,
			"maxFiles":          maxFiles,
			"memoryMB":          memoryMB,
			"overload":          map[string]any{"maxBacklog": 2},
			"relay":             true,
			"localIP":           a.ip,
		},
	}
}

// startDaemons starts one daemon in each zone and waits until all are ready.
func startDaemons(ctx context.Context, s *setup, store string, zones ...string) ([]*daemon, error) {
	var all []addresses
	var seeds []string
	for n := range zones {
		a, err := freeAddresses(fmt.Sprintf("127.0.1.%d", n+1))
		if err != nil {
			return nil, err
		}
		all = append(all, a)
		seeds = append(seeds, a.peers)
	}
	var out []*daemon
	for n, zone := range zones {
		d, err := newDaemon(s, fmt.Sprintf("front-%s-%d", zone, n+1), settingsOf(all[n], zone, store, seeds), all[n])
		if err != nil {
			stopAll(out)
			return nil, err
		}
		out = append(out, d)
		go d.supervise()
	}
	for _, d := range out {
		if err := d.awaitReady(ctx); err != nil {
			stopAll(out)
			return nil, err
		}
	}
	return out, nil
}

func newDaemon(s *setup, name string, settings map[string]any, a addresses) (*daemon, error) {
	content, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(s.dir, name+".conf")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	return &daemon{name: name, settings: path, callers: a.callers, ready: a.ready, program: s.daemon, record: s.record, log: log, supervised: make(chan struct{})}, nil
}

// supervise starts the process, and starts it again whenever it ends, until stop is called.
func (d *daemon) supervise() {
	defer close(d.supervised)
	for {
		command := exec.Command(d.program, "--settings", d.settings)
		command.Stdout, command.Stderr = d.log, d.log
		d.mu.Lock()
		if d.stopping {
			d.mu.Unlock()
			return
		}
		if err := command.Start(); err != nil {
			d.mu.Unlock()
			d.record.add("%s doesn't start: %v", d.name, err)
			return
		}
		d.process = command.Process
		d.starts++
		d.mu.Unlock()
		d.record.add("%s starts", d.name)
		ended := make(chan struct{})
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			d.enforceMemory(command.Process, ended)
		}()
		err := command.Wait()
		close(ended)
		<-watched
		d.mu.Lock()
		d.process = nil
		d.mu.Unlock()
		d.record.add("%s has ended: %v", d.name, err)
		time.Sleep(restartDelay)
	}
}

// enforceMemory kills a process once it exceeds its memory, as the platform does.
func (d *daemon) enforceMemory(p *os.Process, ended <-chan struct{}) {
	t := time.NewTicker(memoryInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ended:
			return
		}
		mb := residentMB(p.Pid)
		d.mu.Lock()
		d.highestMB = max(d.highestMB, mb)
		d.mu.Unlock()
		if mb <= memoryMB {
			continue
		}
		d.mu.Lock()
		d.killedAt = append(d.killedAt, time.Now())
		d.mu.Unlock()
		d.record.add("%s uses %d MB of %d MB; the platform kills it", d.name, mb, memoryMB)
		_ = p.Kill() // it may have ended
		<-ended
		return
	}
}

// residentMB returns the resident memory of a process; 0 once it has ended.
func residentMB(pid int) int {
	content, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * pageSize >> 20
}

// isReady reports whether the daemon counts as ready.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.ready + "/tacktally/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (d *daemon) awaitReady(ctx context.Context) error {
	for !d.isReady() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
		d.mu.Lock()
		failed := d.starts > 3
		d.mu.Unlock()
		if failed {
			return fmt.Errorf("%s doesn't stay up", d.name)
		}
	}
	return nil
}

// state returns how often the process was killed for its memory, and the highest memory seen.
func (d *daemon) state() (kills, highestMB int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.killedAt), d.highestMB
}

// stop ends the process for good.
func (d *daemon) stop() {
	d.mu.Lock()
	d.stopping = true
	if d.process != nil {
		_ = d.process.Kill() // it may have ended
	}
	d.mu.Unlock()
	<-d.supervised
	_ = d.log.Close()
}

func stopAll(list []*daemon) {
	for _, d := range list {
		d.stop()
	}
}
