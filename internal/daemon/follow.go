package daemon

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/config"
	"github.com/tacktally/tacktally/internal/platform"
	"github.com/tacktally/tacktally/internal/wait"
)

// watchConfig follows the document at the platform until ctx ends.
func (d *Daemon) watchConfig(ctx context.Context) {
	d.platform.WatchConfig(ctx, d.settings.Platform.ConfigKey,
		func(revision int64, content []byte) { d.offerConfig(ctx, revision, content, nil, "platform") },
		func(err error) { d.recordPlatformError("configuration", err) })
}

func (d *Daemon) recordPlatformError(what string, err error) {
	d.metrics.Count("tacktally_platform_errors_total")
	d.log.Warn().Str("event", "platform_unavailable").Str("reading", what).Str("cause", err.Error()).Msg("")
}

// offer takes a published value from the platform or a peer. Parts that the giver
// didn't hand over are read from the platform.
func (d *Daemon) offerConfig(ctx context.Context, revision int64, content []byte, parts config.Parts, from string) {
	accepted, err := d.holder.Offer(time.Now(), revision, content, parts)
	var missing *config.MissingPartsError
	if errors.As(err, &missing) {
		accepted, err = d.holder.Offer(time.Now(), revision, content, d.fetchParts(ctx, parts, missing.References))
	}
	switch {
	case errors.As(err, &missing):
		d.metrics.Count("tacktally_config_parts_missing_total")
		d.log.Error().Str("event", "config_parts_missing").Int64("revision", revision).Str("from", from).Str("cause", err.Error()).Msg("")
		go d.retryOffer(revision, content, from)
	case errors.Is(err, config.ErrOlderRevision):
		d.metrics.Count("tacktally_config_older_total")
		d.log.Warn().Str("event", "config_older").Int64("revision", revision).Str("from", from).Msg("")
	case errors.Is(err, config.ErrConflict):
		d.metrics.Count("tacktally_config_conflicts_total")
		d.log.Error().Str("event", "config_conflict").Int64("revision", revision).Str("from", from).Str("cause", err.Error()).Msg("")
	case err != nil:
		d.metrics.Count("tacktally_config_rejected_total")
		d.log.Error().Str("event", "config_rejected").Int64("revision", revision).Str("from", from).Str("cause", err.Error()).Msg("")
	case accepted:
		d.changes.Add(d.holder.Current())
		d.metrics.Count("tacktally_config_accepted_total")
		d.log.Info().Str("event", "config_accepted").Int64("revision", revision).Str("from", from).Msg("")
		d.followCaches()
		d.mesh.Announce() // peers cut off from the platform fetch it at once
	}
}

// partsPause is the time until a document whose parts were missing is tried again.
const partsRetryDelay = time.Second

func (d *Daemon) retryOffer(revision int64, content []byte, from string) {
	if wait.For(d.life, partsRetryDelay) && d.holder.Revision() < revision {
		d.offerConfig(d.life, revision, content, nil, from)
	}
}

// readParts adds parts read from the platform to those at hand.
func (d *Daemon) fetchParts(ctx context.Context, have config.Parts, wanted []api.PartReference) config.Parts {
	out := config.Parts{}
	maps.Copy(out, have)
	for _, r := range wanted {
		_, content, err := d.platform.Config(ctx, r.Key)
		if err != nil {
			d.recordPlatformError("part "+r.Key, err)
			continue
		}
		out[r.SHA256] = content
	}
	return out
}

// watchInstances follows the instance list at the platform until ctx ends.
func (d *Daemon) watchInstances(ctx context.Context) {
	d.platform.WatchInstances(ctx, d.applyInstances, func(err error) { d.recordPlatformError("instances", err) })
}

// refresh reads configuration and list anew, after a pause: from the platform, and
// from the peers, of which one may know better.
func (d *Daemon) refresh(ctx context.Context) {
	d.log.Warn().Str("event", "woke_from_pause").Msg("")
	d.metrics.Count("tacktally_pauses_total")
	var reads sync.WaitGroup
	reads.Go(func() {
		l, err := d.platform.Instances(ctx)
		if err != nil {
			d.recordPlatformError("instances", err)
			return
		}
		d.applyInstances(l)
	})
	reads.Go(func() {
		revision, content, err := d.platform.Config(ctx, d.settings.Platform.ConfigKey)
		if err != nil {
			d.recordPlatformError("configuration", err)
			return
		}
		d.offerConfig(ctx, revision, content, nil, "platform")
	})
	reads.Go(func() { d.mesh.FetchAny(ctx) })
	reads.Wait()
}

const (
	// listPatience bounds how long a starting instance waits for the list.
	listTimeout = 500 * time.Millisecond
	// peersPatience bounds how long it waits for its peers' configuration.
	peersTimeout = time.Second
)

// askPeers takes over what the peers know, before the platform, which may be
// stale, is believed.
func (d *Daemon) fetchFromPeers(ctx context.Context) {
	select {
	case <-d.instances.first:
	case <-time.After(listTimeout):
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(ctx, peersTimeout)
	defer cancel()
	d.mesh.FetchAll(ctx)
}

// useInstances takes a list unless a newer one is in use. It returns once one as new is in use for requests.
func (d *Daemon) applyInstances(l platform.List) {
	d.instances.apply(l, func() {
		d.dispatcher.SetInstances(l.Instances)
		d.followCaches()
		d.organisations.SetInstances(countTacktallyInstances(l))
		d.mesh.SetPeers(peerAddresses(l, d.settings.Peers.Seeds))
		d.mesh.Announce()
		d.log.Info().Str("event", "instances").Int64("version", l.Version).Int("count", len(l.Instances)).Msg("")
	})
}

// followCaches follows the caches of the engines that this instance uses.
func (d *Daemon) followCaches() {
	s := d.holder.Current()
	if s == nil {
		return
	}
	var addresses []string
	for _, set := range s.EngineSets() {
		addresses = append(addresses, d.dispatcher.Members(set.Name)...)
	}
	d.caches.SetEngines(addresses)
}

// upstreamLeaving notes that an upstream said itself that it leaves.
func (d *Daemon) handleUpstreamLeaving(address string) {
	if d.instances.addLeavingNotice(address) {
		d.log.Info().Str("event", "upstream_leaving").Str("upstream", address).Msg("")
		d.mesh.Announce()
	}
}

// systemInstances counts the system's own instances of a list.
func countTacktallyInstances(l platform.List) int {
	n := 0
	for _, i := range l.Instances {
		if i.Set == "" {
			n++
		}
	}
	return n
}

func peerAddresses(l platform.List, seeds []string) []string {
	out := slices.Clone(seeds)
	for _, i := range l.Instances {
		if i.Set == "" {
			out = append(out, i.Address)
		}
	}
	return out
}

// saidLeavingFor is how long an upstream's own word is passed on to the peers,
// who may be behind with the list.
const leavingNoticeTTL = time.Minute

// instanceList holds the newest list. Safe for concurrent use.
type instanceList struct {
	mu      sync.Mutex
	list    platform.List
	first   chan struct{}        // closed at the first list
	leaving map[string]time.Time // upstreams that said themselves that they leave
	// applying holds an element while a list is applied.
	applying chan struct{}
}

func newInstanceList() *instanceList {
	return &instanceList{first: make(chan struct{}), leaving: map[string]time.Time{}, applying: make(chan struct{}, 1)}
}

func (i *instanceList) current() platform.List {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.list
}

func (i *instanceList) version() int64 { return i.current().Version }

// use applies a list that is newer than the one in use. It blocks while another one is being applied: who has read a
// list relies on what it says.
func (i *instanceList) apply(l platform.List, apply func()) {
	i.applying <- struct{}{}
	defer func() { <-i.applying }()
	if i.replace(l) {
		apply()
	}
}

// replace takes a list that is newer than the one in use.
func (i *instanceList) replace(l platform.List) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if l.Version <= i.list.Version {
		return false
	}
	if i.list.Version == 0 {
		close(i.first)
	}
	i.list = l
	return true
}

// sayLeaving returns true when it is news.
func (i *instanceList) addLeavingNotice(address string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	_, known := i.leaving[address]
	i.leaving[address] = time.Now()
	return !known
}

func (i *instanceList) leavingNotices() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	var out []string
	for address, at := range i.leaving {
		if time.Since(at) > leavingNoticeTTL {
			delete(i.leaving, address)
			continue
		}
		out = append(out, address)
	}
	slices.Sort(out)
	return out
}
