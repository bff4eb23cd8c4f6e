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

// watchConfig follows the configuration document at the platform until ctx is done.
func (d *Daemon) watchConfig(ctx context.Context) {
	d.platform.WatchConfig(ctx, d.settings.Platform.ConfigKey,
		func(revision int64, content []byte) { d.offerConfig(ctx, revision, content, nil, "platform") },
		func(err error) { d.recordPlatformError("configuration", err) })
}

func (d *Daemon) recordPlatformError(what string, err error) {
	d.metrics.Count("tacktally_platform_errors_total")
	d.log.Warn().Str("event", "platform_unavailable").Str("reading", what).Str("cause", err.Error()).Msg("platform read failed; continuing with the known state")
}

// offerConfig offers a document from the platform or a peer to the holder. Parts that the sender
// didn't provide are read from the platform.
func (d *Daemon) offerConfig(ctx context.Context, revision int64, content []byte, parts config.Parts, from string) {
	accepted, err := d.holder.Offer(time.Now(), revision, content, parts)
	var missing *config.MissingPartsError
	if errors.As(err, &missing) {
		accepted, err = d.holder.Offer(time.Now(), revision, content, d.fetchParts(ctx, parts, missing.References))
	}
	switch {
	case errors.As(err, &missing):
		d.metrics.Count("tacktally_config_parts_missing_total")
		d.log.Error().Str("event", "config_parts_missing").Int64("revision", revision).Str("from", from).Str("cause", err.Error()).Msg("parts of the configuration are missing; retrying later")
		go d.retryOffer(revision, content, from)
	case errors.Is(err, config.ErrOlderRevision):
		d.metrics.Count("tacktally_config_older_total")
		d.log.Warn().Str("event", "config_older").Int64("revision", revision).Str("from", from).Msg("ignored an older configuration")
	case errors.Is(err, config.ErrConflict):
		d.metrics.Count("tacktally_config_conflicts_total")
		d.log.Error().Str("event", "config_conflict").Int64("revision", revision).Str("from", from).Str("cause", err.Error()).Msg("ignored a different configuration under the same revision")
	case err != nil:
		d.metrics.Count("tacktally_config_rejected_total")
		d.log.Error().Str("event", "config_rejected").Int64("revision", revision).Str("from", from).Str("cause", err.Error()).Msg("rejected an invalid configuration; keeping the current one")
	case accepted:
		d.changes.Add(d.holder.Current())
		d.metrics.Count("tacktally_config_accepted_total")
		d.log.Info().Str("event", "config_accepted").Int64("revision", revision).Str("from", from).Msg("")
		d.followCaches()
		d.mesh.Announce() // peers that can't reach the platform fetch it at once
	}
}

// partsRetryDelay is the time until a document with missing parts is offered again.
const partsRetryDelay = time.Second

func (d *Daemon) retryOffer(revision int64, content []byte, from string) {
	if wait.For(d.runCtx, partsRetryDelay) && d.holder.Revision() < revision {
		d.offerConfig(d.runCtx, revision, content, nil, from)
	}
}

// fetchParts returns the known parts together with the wanted ones, read from the platform. Parts
// that can't be read are left out.
func (d *Daemon) fetchParts(ctx context.Context, known config.Parts, wanted []api.PartReference) config.Parts {
	out := config.Parts{}
	maps.Copy(out, known)
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

// watchInstances follows the instance list at the platform until ctx is done.
func (d *Daemon) watchInstances(ctx context.Context) {
	d.platform.WatchInstances(ctx, d.applyInstances, func(err error) { d.recordPlatformError("instances", err) })
}

// refresh reads the configuration and the instance list again after a pause, from the platform and
// from a peer, either of which may have the newer version. It blocks until all reads have ended.
func (d *Daemon) refresh(ctx context.Context) {
	d.log.Warn().Str("event", "woke_from_pause").Msg("the process was paused; refreshing configuration and instance list")
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
	// listTimeout bounds how long a starting instance waits for the instance list.
	listTimeout = 500 * time.Millisecond
	// peersTimeout bounds how long a starting instance waits for its peers' configuration.
	peersTimeout = time.Second
)

// fetchFromPeers fetches the state of the peers. It is called before the configuration is read from
// the platform, whose copy may be stale.
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

// applyInstances applies a list unless a list of this or a newer version is in use. When it
// returns, requests are served by a list of at least this version.
func (d *Daemon) applyInstances(l platform.List) {
	d.instances.apply(l, func() {
		if l.Invalid != nil {
			d.recordPlatformError("instances", l.Invalid)
		}
		d.organisations.SetInstances(countTacktallyInstances(l)) // before the list provides capacity
		d.dispatcher.SetInstances(l.Instances)
		d.followCaches()
		d.mesh.SetPeers(peerAddresses(l, d.settings.Peers.Seeds))
		d.mesh.Announce()
		d.log.Info().Str("event", "instances").Int64("version", l.Version).Int("count", len(l.Instances)).Msg("applied a new instance list")
	})
}

// followCaches follows the cache events of the engines that this instance uses.
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

// handleUpstreamLeaving records the leaving notice of an upstream and announces a new one to the
// peers.
func (d *Daemon) handleUpstreamLeaving(address string) {
	if d.instances.addLeavingNotice(address) {
		d.log.Info().Str("event", "upstream_leaving").Str("upstream", address).Msg("the upstream announced that it leaves; it gets no new requests")
		d.mesh.Announce()
	}
}

// countTacktallyInstances returns the number of instances of tacktallyd in a list.
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

// leavingNoticeTTL is how long a leaving notice is sent to the peers, whose instance list may lag
// behind.
const leavingNoticeTTL = time.Minute

// instanceList holds the newest instance list and the leaving notices. It is safe for concurrent
// use.
type instanceList struct {
	mu      sync.Mutex
	list    platform.List
	first   chan struct{}        // closed when the first list is set
	leaving map[string]time.Time // time of the last leaving notice, by address
	// entered is the version of the list with which another process than before was listed at an upstream's address.
	entered map[string]int64
	// applying has capacity 1 and holds an element while a list is applied.
	applying chan struct{}
}

func newInstanceList() *instanceList {
	return &instanceList{first: make(chan struct{}), leaving: map[string]time.Time{}, entered: map[string]int64{}, applying: make(chan struct{}, 1)}
}

func (i *instanceList) current() platform.List {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.list
}

func (i *instanceList) version() int64 { return i.current().Version }

// apply calls apply if the list is newer than the one in use. It blocks while another list is being
// applied, since a caller that has read a list relies on its being in use.
func (i *instanceList) apply(l platform.List, apply func()) {
	i.applying <- struct{}{}
	defer func() { <-i.applying }()
	if i.replace(l) {
		apply()
	}
}

// replace sets the list and returns true if it is newer than the one in use.
func (i *instanceList) replace(l platform.List) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if l.Version <= i.list.Version {
		return false
	}
	if i.list.Version == 0 {
		close(i.first)
	} else {
		i.replaceUpstreams(platform.UpstreamStates(i.list.Instances), platform.UpstreamStates(l.Instances), l.Version)
	}
	i.list = l
	return true
}

// replaceUpstreams drops the leaving notices of upstreams that a list of the given version doesn't have, or has for
// another process than the list before. The caller holds the lock.
func (i *instanceList) replaceUpstreams(before, now map[string]platform.State, version int64) {
	for address := range platform.Entered(before, now) {
		i.entered[address] = version
		delete(i.leaving, address)
	}
	for address := range before {
		if _, listed := now[address]; !listed {
			delete(i.entered, address)
			delete(i.leaving, address)
		}
	}
}

// isOfFormerProcess reports whether what a peer with a list of the given version says of an upstream is about a process
// that was listed at its address before.
func (i *instanceList) isOfFormerProcess(address string, version int64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return version < i.entered[address]
}

// addLeavingNotice records a leaving notice, and reports whether it is the first one of this
// upstream.
func (i *instanceList) addLeavingNotice(address string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	_, known := i.leaving[address]
	i.leaving[address] = time.Now()
	return !known
}

// leavingNotices returns the upstreams with a recent leaving notice, and removes older notices.
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
