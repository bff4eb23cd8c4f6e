package daemon

import (
	"context"
	"errors"
	"fmt"

	"github.com/tacktally/tacktally/internal/config"
	"github.com/tacktally/tacktally/internal/orders"
	"github.com/tacktally/tacktally/internal/platform"
)

var errPausedSince = errors.New("the instance was paused after the platform confirmed its revision")

// Snapshot implements orders.Instance.
func (d *Daemon) Snapshot(ctx context.Context) *config.Snapshot { return d.gateway.Snapshot(ctx) }

// Engines implements orders.Instance. It returns the live upstreams of a set in this zone.
func (d *Daemon) Engines(set string) []string {
	var out []string
	for _, i := range d.instances.current().Instances {
		if i.Set == set && i.Zone == d.settings.Zone && i.State == platform.Live {
			out = append(out, i.Address)
		}
	}
	return out
}

// SendsOrders implements orders.Instance. It reports whether this instance has the lowest address
// among the reachable instances of the zone that aren't draining.
func (d *Daemon) SendsOrders() bool {
	if d.gateway.Draining() {
		return false
	}
	for _, p := range d.mesh.Peers() {
		if p.Zone == d.settings.Zone && p.Reachable && !p.Draining && p.Address < d.address {
			return false
		}
	}
	return true
}

// ConfirmRevision implements orders.Instance.
func (d *Daemon) ConfirmRevision(ctx context.Context, revision int64) (stillCurrent func() error, err error) {
	generation := d.pauses.Generation()
	current, _, err := d.platform.Config(ctx, d.settings.Platform.ConfigKey)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", orders.ErrNotCurrent, err)
	}
	if current != revision || d.holder.Revision() != revision {
		return nil, fmt.Errorf("%w: the platform has revision %d, this instance uses %d", orders.ErrNotCurrent, current, revision)
	}
	return func() error {
		if d.pauses.Generation() != generation {
			return errPausedSince
		}
		return nil
	}, nil
}
