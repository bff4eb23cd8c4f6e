package daemon

import (
	"context"

	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/request"
)

// spill implements dispatch.Spiller. It sends a request to the least busy instance in another
// availability zone in which no request waits for the set. It blocks until the response ends.
func (d *Daemon) spill(ctx context.Context, set string, r *request.Request, b *answer.Buffer) (done, sent bool) {
	address, ok := d.spillTarget(set)
	if !ok {
		return false, false
	}
	sent, err := d.mesh.Forward(ctx, address, r, b)
	if err == nil {
		return true, true
	}
	d.log.Warn().Str("event", "spill_failed").Str("request", r.ID).Str("peer", address).Str("cause", err.Error()).Msg("could not send the request to another zone")
	return false, sent
}

// spillTarget returns the reachable instance of another zone that has the fewest requests in flight
// and no queue for the set.
func (d *Daemon) spillTarget(set string) (address string, ok bool) {
	var best peer.Status
	for _, p := range d.mesh.Peers() {
		if !p.Reachable || p.Draining || p.Zone == d.settings.Zone || p.Report == nil || p.Queued[set] != nil {
			continue
		}
		if best.Address == "" || p.InFlight < best.InFlight {
			best = p
		}
	}
	return best.Address, best.Address != ""
}
