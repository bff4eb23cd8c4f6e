package fleet

import (
	"time"

	"github.com/tacktally/tacktally/internal/peer"
)

// minAddedHistory is by how much longer the history of a peer must be to extend this one.
const minAddedHistory = 2 * time.Second

// followed returns for how long this instance knows which versions each service has had, versionMemory at most. The caller
// holds the lock.
func (f *Fleet) followed(now time.Time) time.Duration {
	if f.followedSince.IsZero() {
		return 0
	}
	return min(now.Sub(f.followedSince), versionMemory)
}

// Followed returns for how long this instance, or peers before it, have followed the list, two hours at most.
func (f *Fleet) Followed() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.followed(time.Now())
}

// ListHistory returns which versions were listed since this instance has followed the list, nil if its list, of the age
// listAge, isn't current: others would take it for complete until now.
func (f *Fleet) ListHistory(listAge time.Duration) *peer.ListHistory {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	h := &peer.ListHistory{Followed: f.followed(now)}
	if h.Followed == 0 || !IsCurrent(listAge) {
		return nil
	}
	for name, s := range f.services {
		for version, use := range s.versions {
			v := peer.ListedVersion{Service: name, Version: version}
			if use.upstreams == 0 {
				v.Gone = now.Sub(use.lastSeen)
			}
			if len(h.Versions) < peer.MaxListedVersions && v.Gone <= versionMemory {
				h.Versions = append(h.Versions, v)
			}
		}
	}
	if len(h.Versions) == peer.MaxListedVersions {
		return nil // incomplete
	}
	return h
}

// MergeListHistory adds the versions that a peer knows to those of this instance. If the peer has followed the list for longer,
// together they have since then, as this instance had a list when the peer replied. A version may come with the history before it
// comes with the list, so that origins which only this instance knows are shared here too.
func (f *Fleet) MergeListHistory(from string, h *peer.ListHistory) {
	if h != nil {
		f.ShareOrigins(f.mergeListHistory(from, h))
	}
}

// mergeListHistory adds the history of a peer, and returns the services that have several versions only by it.
func (f *Fleet) mergeListHistory(from string, h *peer.ListHistory) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	several := f.servicesWithVersions(now)
	for _, v := range h.Versions {
		f.serviceOf(v.Service).sawVersion(v.Version, now.Add(-v.Gone))
	}
	if before := f.followed(now); !f.followedSince.IsZero() && h.Followed >= before+minAddedHistory {
		f.followedSince = now.Add(-h.Followed)
		f.o.Log.Info().Str("event", "list_history").Str("peer", from).Dur("followed", h.Followed).Dur("followed_before", before).
			Int("versions", len(h.Versions)).Msg("")
	}
	return addedServices(several, f.servicesWithVersions(now))
}

// addedServices returns the services that are in the second set only.
func addedServices(before, now map[string]bool) (out []string) {
	for service := range now {
		if !before[service] {
			out = append(out, service)
		}
	}
	return out
}
