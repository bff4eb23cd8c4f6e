package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"net/url"
	"time"
)

// Provision sets the settings that are absent to their defaults.
func (s *Settings) Provision() {
	s.Callers.provision()
	s.Peers.provision()
	p := &s.Platform
	p.ConfigKey = cmp.Or(p.ConfigKey, "tacktally")
	p.Wait = cmp.Or(p.Wait, Duration(3*time.Second))
	p.MaxListAge = cmp.Or(p.MaxListAge, Duration(3*time.Second))
	i := &s.Idempotency
	i.KeyLifetime = cmp.Or(i.KeyLifetime, Duration(10*time.Minute))
	i.MaxEntries = cmp.Or(i.MaxEntries, 20_000)
	i.MaxAnswerBytes = cmp.Or(i.MaxAnswerBytes, 8<<20)
	s.Queue.MaxItems = cmp.Or(s.Queue.MaxItems, 2000)
	s.Queue.MaxBytes = cmp.Or(s.Queue.MaxBytes, 64<<20)
	u := &s.Upstreams
	u.ConnectTimeout = cmp.Or(u.ConnectTimeout, Duration(time.Second))
	u.RetryBudget = cmp.Or(u.RetryBudget, 0.1)
	u.Subset = cmp.Or(u.Subset, 48)
	u.WeightLoadsPerMinute = cmp.Or(u.WeightLoadsPerMinute, 6)
	s.Log.Level = cmp.Or(s.Log.Level, "info")
	if s.Routed != nil {
		s.Routed.provision()
	}
}

// ReservedFiles is the number of file descriptors that are reserved for other uses than callers'
// connections.
const ReservedFiles = 200

// maxProofInterval is the maximum default of Routed.ProveEvery: the reads renew a lease of a few
// seconds.
const maxProofInterval = Duration(1500 * time.Millisecond)

func (r *Routed) provision() {
	r.Lease = cmp.Or(r.Lease, Duration(5*time.Second))
	r.StaleKeys = cmp.Or(r.StaleKeys, RefuseStaleKeys)
	r.LeaveWithin = cmp.Or(r.LeaveWithin, Duration(2*time.Second))
	r.ProveEvery = cmp.Or(r.ProveEvery, min(r.LeaveWithin/2, maxProofInterval))
	r.InForce = cmp.Or(r.InForce, Duration(2*time.Second))
	r.Settle = cmp.Or(r.Settle, Duration(2*time.Second))
	r.UpstreamHeartbeat = cmp.Or(r.UpstreamHeartbeat, Duration(time.Second))
	r.Grace = cmp.Or(r.Grace, Duration(8*time.Second))
	r.RetryShare = cmp.Or(r.RetryShare, 0.1)
	r.RetryExtra = cmp.Or(r.RetryExtra, 20)
	r.RetryWindow = cmp.Or(r.RetryWindow, Duration(10*time.Second))
	r.QuotaWindow = cmp.Or(r.QuotaWindow, Duration(8*time.Second))
	r.EvacuateWithin = cmp.Or(r.EvacuateWithin, Duration(5*time.Second))
	r.FarCost = cmp.Or(r.FarCost, Duration(5*time.Millisecond))
	r.FarRegionCost = cmp.Or(r.FarRegionCost, Duration(30*time.Millisecond))
	r.Cores = cmp.Or(r.Cores, 1)
	r.MaxFiles = cmp.Or(r.MaxFiles, 4096)
	r.MemoryMB = cmp.Or(r.MemoryMB, 256)
}

func (c *Callers) provision() {
	c.MaxBodyBytes = cmp.Or(c.MaxBodyBytes, 4<<20)
	c.MaxHeaderBytes = cmp.Or(c.MaxHeaderBytes, 16<<10)
	c.ReadTimeout = cmp.Or(c.ReadTimeout, Duration(15*time.Second))
	c.WriteTimeout = cmp.Or(c.WriteTimeout, Duration(30*time.Second))
	c.MaxInFlight = cmp.Or(c.MaxInFlight, 4096)
}

func (p *Peers) provision() {
	p.Advertise = cmp.Or(p.Advertise, p.Address)
	p.Heartbeat = cmp.Or(p.Heartbeat, Duration(500*time.Millisecond))
	p.SuspectAfter = cmp.Or(p.SuspectAfter, Duration(2*time.Second))
}

// Validate checks provisioned settings. The error is nil or of type Faults.
func (s *Settings) Validate() error {
	c := &checker{}
	if s.Zone == "" {
		c.add("/zone", "is missing; name the availability zone")
	}
	c.address("/callers/address", s.Callers.Address)
	c.address("/peers/address", s.Peers.Address)
	c.dialAddress("/peers/advertise", s.Peers.Advertise)
	for i, seed := range s.Peers.Seeds {
		c.dialAddress(fmt.Sprintf("/peers/seeds/%d", i), seed)
	}
	c.tls("/callers/tls", s.Callers.TLS)
	c.tls("/operators/tls", s.Operators.TLS)
	c.tls("/peers/tls", s.Peers.TLS)
	c.configSource(s)
	c.ranges(s)
	if len(c.faults) == 0 {
		return nil
	}
	return c.faults
}

type checker struct{ faults Faults }

func (c *checker) add(path, format string, args ...any) {
	c.faults = append(c.faults, path+" "+fmt.Sprintf(format, args...))
}

func (c *checker) address(path, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		c.add(path, "is %q; write IP:port, such as 10.0.0.5:8080", text)
	}
}

// dialAddress checks an address that is connected to: it needs a port and a specific IP.
func (c *checker) dialAddress(path, text string) {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		c.add(path, "is %q; write the IP:port at which it can be reached", text)
	}
}

func (c *checker) url(path, text string) {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.add(path, "is %q; write a URL, such as http://10.0.0.2:9000", text)
	}
}

func (c *checker) tls(path string, t *TLS) {
	if t == nil {
		return
	}
	if t.CertificateFile == "" || t.KeyFile == "" {
		c.add(path, "needs both certificateFile and keyFile")
	}
}

// maxBacklog bounds Overload.MaxBacklog. Upstreams queue a few requests only, and what waits there
// can't be reordered.
const maxBacklog = 8

// configSource checks the source of the configuration and the access of operators to it.
func (c *checker) configSource(s *Settings) {
	if s.Routed != nil {
		c.routed(s.Routed)
		return
	}
	c.url("/platform/url", s.Platform.URL)
	c.address("/operators/address", s.Operators.Address)
	c.operators(s.Operators)
}

func (c *checker) routed(r *Routed) {
	c.dialAddress("/routed/store", r.Store)
	c.address("/routed/ready", r.Ready)
	c.address("/routed/metrics", r.Metrics)
	if _, err := netip.ParseAddr(r.LocalIP); r.LocalIP != "" && err != nil {
		c.add("/routed/localIP", "is %q; write an IP address, such as 10.0.0.5", r.LocalIP)
	}
	c.positive("/routed/lease", int64(r.Lease))
	if r.StaleKeys != RefuseStaleKeys && r.StaleKeys != ServeStaleKeys {
		c.add("/routed/staleKeys", "is %q; use refuse or serve", r.StaleKeys)
	}
	c.positive("/routed/leaveWithin", int64(r.LeaveWithin))
	c.positive("/routed/proveEvery", int64(r.ProveEvery))
	if r.ProveEvery >= r.Lease {
		c.add("/routed/proveEvery", "is not below the lease; lower it, since otherwise no API key is ever accepted")
	}
	if r.ProveEvery >= r.LeaveWithin {
		c.add("/routed/proveEvery", "is not below leaveWithin; lower it, since otherwise leaving upstreams may get requests for longer")
	}
	c.positive("/routed/evacuateWithin", int64(r.EvacuateWithin))
	if r.ProveEvery >= r.EvacuateWithin {
		c.add("/routed/proveEvery", "is not below evacuateWithin; lower it, since otherwise evacuated zones may get requests for longer")
	}
	if r.ColdOverage < 0 || r.ColdSlack < 0 {
		c.add("/routed", "has a negative coldOverage or coldSlack; set 0 or more")
	}
	c.positive("/routed/inForce", int64(r.InForce))
	c.positive("/routed/settle", int64(r.Settle))
	c.positive("/routed/upstreamHeartbeat", int64(r.UpstreamHeartbeat))
	c.positive("/routed/grace", int64(r.Grace))
	c.positive("/routed/retryWindow", int64(r.RetryWindow))
	c.positive("/routed/memoryMB", int64(r.MemoryMB))
	if r.MaxFiles <= ReservedFiles {
		c.add("/routed/maxFiles", "is %d; allow more than the %d that are reserved for other uses", r.MaxFiles, ReservedFiles)
	}
	if r.Cores < 0 {
		c.add("/routed/cores", "is %g; set the number of cores of the process, such as 0.4", r.Cores)
	}
	if r.RetryShare < 0 || r.RetryShare > 1 {
		c.add("/routed/retryShare", "is %g; set a share from 0 to 1", r.RetryShare)
	}
	if r.Overload.MaxBacklog < 0 || r.Overload.MaxBacklog > maxBacklog {
		c.add("/routed/overload/maxBacklog", "is %d; set 0 to %d", r.Overload.MaxBacklog, maxBacklog)
	}
	c.positive("/routed/quotaWindow", int64(r.QuotaWindow))
	if r.RetryExtra < 0 || r.QuotaOverage < 0 || r.QuotaSlack < 0 || r.FarCost < 0 || r.FarRegionCost < 0 {
		c.add("/routed", "has a negative retryExtra, quotaOverage, quotaSlack, farCost or farRegionCost; set 0 or more")
	}
}

func (c *checker) operators(o Operators) {
	a, err := netip.ParseAddrPort(o.Address)
	if err == nil && !a.Addr().IsLoopback() && o.TokenFile == "" {
		c.add("/operators/tokenFile", "is missing; give a token file, or listen on a loopback address")
	}
}

func (c *checker) ranges(s *Settings) {
	c.positive("/callers/maxBodyBytes", s.Callers.MaxBodyBytes)
	c.positive("/callers/maxHeaderBytes", int64(s.Callers.MaxHeaderBytes))
	c.positive("/callers/maxInFlight", int64(s.Callers.MaxInFlight))
	c.positive("/callers/readTimeout", int64(s.Callers.ReadTimeout))
	c.positive("/callers/writeTimeout", int64(s.Callers.WriteTimeout))
	c.positive("/peers/heartbeat", int64(s.Peers.Heartbeat))
	c.positive("/platform/wait", int64(s.Platform.Wait))
	c.positive("/platform/maxListAge", int64(s.Platform.MaxListAge))
	c.positive("/idempotency/keyLifetime", int64(s.Idempotency.KeyLifetime))
	c.positive("/idempotency/maxEntries", int64(s.Idempotency.MaxEntries))
	c.positive("/idempotency/maxAnswerBytes", s.Idempotency.MaxAnswerBytes)
	c.positive("/queue/maxItems", int64(s.Queue.MaxItems))
	c.positive("/queue/maxBytes", s.Queue.MaxBytes)
	c.positive("/upstreams/connectTimeout", int64(s.Upstreams.ConnectTimeout))
	c.positive("/upstreams/subset", int64(s.Upstreams.Subset))
	c.positive("/upstreams/weightLoadsPerMinute", int64(s.Upstreams.WeightLoadsPerMinute))
	if s.Peers.SuspectAfter < 2*s.Peers.Heartbeat {
		c.add("/peers/suspectAfter", "is less than two heartbeat intervals; raise it")
	}
	if s.Upstreams.RetryBudget < 0 || s.Upstreams.RetryBudget > 1 {
		c.add("/upstreams/retryBudget", "is %g; set a share from 0 to 1", s.Upstreams.RetryBudget)
	}
	if s.Drain.Timeout < 0 {
		c.add("/drain/timeout", "is negative; set a time, or 0 for none")
	}
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		c.add("/log/level", "is %q; use debug, info, warn or error", s.Log.Level)
	}
}

func (c *checker) positive(path string, value int64) {
	if value <= 0 {
		c.add(path, "must be above 0")
	}
}
