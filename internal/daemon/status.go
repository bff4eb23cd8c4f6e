package daemon

import (
	"context"
	"errors"

	"github.com/tacktally/tacktally/internal/config"
	"github.com/tacktally/tacktally/internal/operatorapi"
	"github.com/tacktally/tacktally/internal/pool"
)

// Status implements operatorapi.Instance.
func (d *Daemon) Status() operatorapi.Status {
	snapshot, since, rejected := d.holder.Status()
	s := operatorapi.Status{
		Address:     d.address,
		Zone:        d.settings.Zone,
		Incarnation: uint64(d.incarnation),
		Version:     Version(),
		Started:     d.started,
		Since:       since,
		Rejected:    rejected,
		ListVersion: d.instances.version(),
		Draining:    d.gateway.Draining(),
		InFlight:    d.dispatcher.InFlight(),
		Keys:        d.registry.Stats(),
		Peers:       d.mesh.Peers(),
	}
	if snapshot != nil {
		s.Revision = snapshot.Revision
	}
	return s
}

// Upstreams implements operatorapi.Instance.
func (d *Daemon) Upstreams(set string) []pool.UpstreamStatus { return d.dispatcher.Upstreams(set) }

// Queued implements operatorapi.Instance.
func (d *Daemon) Queued(set string, ranks int) []int {
	if q := d.dispatcher.Queued(ranks)[set]; q != nil {
		return q
	}
	return make([]int, ranks)
}

// Validate implements operatorapi.Instance.
func (d *Daemon) Validate(ctx context.Context, content []byte) error {
	var known config.Parts
	if c := d.holder.Current(); c != nil {
		known = c.Parts(nil)
	}
	_, err := config.Accept(1, content, known)
	var missing *config.MissingPartsError
	if errors.As(err, &missing) {
		_, err = config.Accept(1, content, d.fetchParts(ctx, known, missing.References))
	}
	return err
}
