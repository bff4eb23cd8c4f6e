package entry

import "time"

func (i *Instance) registerGauges() {
	i.metrics.Gauge("tacktally_in_flight", func() float64 { return float64(i.proxy.InFlight()) })
	i.metrics.Gauge("tacktally_revision", func() float64 { return float64(i.view.Revision()) })
	i.metrics.Gauge("tacktally_config_version", func() float64 { return float64(i.view.Version()) })
	i.metrics.Gauge("tacktally_evacuations_version", func() float64 { return float64(i.view.CurrentEvacuations().Version) })
	i.metrics.Gauge("tacktally_config_age_seconds", func() float64 {
		age, _ := i.view.Age()
		return age.Seconds()
	})
	i.metrics.Gauge("tacktally_config_bytes", func() float64 {
		c, _ := i.view.PublishedConfiguration()
		return float64(len(c.Content))
	})
	i.metrics.Gauge("tacktally_upstreams_listed", func() float64 { return float64(i.view.ListCount()) })
	i.metrics.Gauge("tacktally_list_version", func() float64 { return float64(i.view.ListVersion()) })
	i.metrics.Gauge("tacktally_list_age_seconds", func() float64 {
		age, _ := i.view.ListAge()
		return age.Seconds()
	})
	i.metrics.Gauge("tacktally_zones_evacuated", func() float64 { return float64(len(i.view.CurrentEvacuations().Zones)) })
	i.metrics.Gauge("tacktally_upstreams_cold", func() float64 { return float64(i.fleet.ColdUpstreams()) })
	i.metrics.Gauge("tacktally_upstreams_limited", func() float64 { return float64(i.fleet.LimitedUpstreams()) })
	i.metrics.Gauge("tacktally_upstreams_reached", func() float64 { reached, _ := i.fleet.UpstreamsReached(); return float64(reached) })
	i.metrics.Gauge("tacktally_upstreams_failing", func() float64 { _, failing := i.fleet.UpstreamsReached(); return float64(failing) })
	i.metrics.Gauge("tacktally_requests_held", func() float64 { return float64(i.quarantine.Count(time.Now())) })
	i.metrics.Gauge("tacktally_starts_held", func() float64 { return float64(i.fleet.LimitedGrants()) })
	i.metrics.Gauge("tacktally_peers_known", func() float64 { return float64(len(i.mesh.Peers())) })
	i.metrics.Gauge("tacktally_instances_in_reach", func() float64 { return float64(i.fleet.ReachableInstances()) })
	i.metrics.Gauge("tacktally_peer_links", func() float64 { return float64(i.mesh.LinkCount()) })
	i.metrics.Gauge("tacktally_hub", func() float64 { return boolToFloat(i.mesh.Role().HubRank >= 0) })
	i.metrics.Gauge("tacktally_reads_source", func() float64 { return boolToFloat(i.election.active()) })
	i.registerRelayGauges()
	i.registerRetryGauges()
	i.registerLoadGauges()
	i.registerProcessorGauges()
	i.metrics.Gauge("tacktally_log_lines_dropped", func() float64 { return float64(i.output.Dropped()) })
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
