package entry

import (
	"sync"
	"time"
)

const (
	// wantedInformation is the time for which an instance wants to know what the instances have told each other: a
	// quarantine period lasts an hour at most, and is kept for another one after its end.
	wantedInformation = 2 * time.Hour
	// informationMargin is by how much longer a peer must have been informed, since heartbeats give whole seconds.
	informationMargin = 2 * time.Second
)

// informed tracks since when an instance knows what the instances tell each other of requests and upstreams: quarantine
// periods, leaving notices and advertised limits. It hears them from its start on, and fetches earlier ones from a peer that
// has been informed for longer; one that has just started itself knows none of them either. What it missed while it was
// paused it fetches from a peer that was informed then. It is safe for concurrent use.
type informed struct {
	mu    sync.Mutex
	since time.Time
	// missedSince and missedUntil bound the time within which the instance may have missed what was told, as it was paused;
	// missedSince is zero if it hasn't.
	missedSince, missedUntil time.Time
}

// duration returns for how long the instance, or peers before it, have been informed, wantedInformation at most.
func (k *informed) duration(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return min(now.Sub(k.since), wantedInformation)
}

// offered returns for how long the instance can tell peers what it was told: since it has been informed, or since the end of a pause of which it
// hasn't fetched what it missed.
func (k *informed) offered(now time.Time) time.Duration {
	duration := k.duration(now)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.missedSince.IsZero() {
		return duration
	}
	return min(duration, now.Sub(k.missedUntil))
}

// lacks reports whether a peer that has been informed for a duration knows what this instance may not.
func (k *informed) lacks(now time.Time, peer time.Duration) bool {
	return knowsMore(peer, k.duration(now)) || k.missed(now, peer)
}

// hasMissed reports whether this instance may have missed what was told within wantedInformation.
func (k *informed) hasMissed(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Sub(k.missedSince) < wantedInformation
}

// missed reports whether a peer that has been informed for a duration was told what this instance may have missed.
func (k *informed) missed(now time.Time, peer time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.missedSince.IsZero() && !now.Add(-peer).After(k.missedSince)
}

// merged records that the state of a peer that has been informed for a duration has been merged.
func (k *informed) merged(now time.Time, peer time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	since := now.Add(-min(peer, wantedInformation))
	if since.Before(k.since) {
		k.since = since
	}
	if !since.After(k.missedSince) {
		k.missedSince = time.Time{}
	}
}

// interrupted records that this instance was paused until now, and when it last ran before.
func (k *informed) interrupted(now, last time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.missedUntil = now
	if k.missedSince.IsZero() || last.Before(k.missedSince) {
		k.missedSince = last
	}
}

// knowsMore reports whether an instance that has been informed for one duration knows what one with the other may not.
func knowsMore(one, other time.Duration) bool { return one >= other+informationMargin }
