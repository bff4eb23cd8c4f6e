package entry

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/go-json-experiment/json"

	"github.com/tacktally/tacktally/internal/view"
)

// ZoneReportPath is the path at which the metrics listener serves a ZoneReport as JSON.
const ZoneReportPath = "/places"

// ZoneReport is what one instance knows of availability zones and of cold upstreams.
type ZoneReport struct {
	Instance string `json:"instance"`
	// Version is the revision of the source up to which evacuations are known; 0 if none are.
	Version int64  `json:"version"`
	Zones   []Zone `json:"zones"`
	// Cold are the upstreams that are cold by their entries.
	Cold []ColdUpstream `json:"cold"`
	// LimitedGrants is how often waiting work was delayed here only by grant limits.
	LimitedGrants int64 `json:"heldStarts"`
}

// Zone is one availability zone.
type Zone struct {
	Name      string `json:"name"`
	Evacuated bool   `json:"evacuated"`
	// Upstreams is the number of listed upstreams in the zone.
	Upstreams int `json:"upstreams"`
	// Running is the number of this instance's requests at the zone's upstreams. The zone is empty
	// once this is 0 at all instances.
	Running int `json:"running"`
}

// ColdUpstream is an upstream that can serve only its cold-start rate for a while.
type ColdUpstream struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// RemainingMS is the time for which it stays cold, in milliseconds.
	RemainingMS int64 `json:"leftMS"`
}

// zoneReport returns the current report.
func (i *Instance) zoneReport() ZoneReport {
	evacuated := i.view.CurrentEvacuations()
	list := i.view.List().Upstreams
	out := ZoneReport{Instance: i.address, Version: evacuated.Version, Zones: i.zones(evacuated.Zones, list), LimitedGrants: i.fleet.LimitedGrants()}
	for _, u := range list {
		if u.Cold > 0 {
			out.Cold = append(out.Cold, ColdUpstream{ID: u.ID, Zone: u.Zone, RemainingMS: u.Cold.Milliseconds()})
		}
	}
	return out
}

// zones returns all zones that have upstreams or are evacuated, sorted by name.
func (i *Instance) zones(evacuated []string, list []view.Upstream) []Zone {
	byName := map[string]*Zone{}
	zone := func(name string) *Zone {
		if byName[name] == nil {
			byName[name] = &Zone{Name: name, Running: i.proxy.RunningInZone(name)}
		}
		return byName[name]
	}
	for _, name := range evacuated {
		zone(name).Evacuated = true
	}
	for _, u := range list {
		zone(u.Zone).Upstreams++
	}
	out := make([]Zone, 0, len(byName))
	for _, z := range byName {
		out = append(out, *z)
	}
	slices.SortFunc(out, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (i *Instance) serveZoneReport(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.MarshalWrite(w, i.zoneReport(), json.FormatNilSliceAsNull(false)) // the requester may have disconnected
}

// registerZoneGauges registers a gauge of the running requests for each new zone of the upstreams.
func (i *Instance) registerZoneGauges(upstreams []view.Upstream) {
	for _, u := range upstreams {
		zone := u.Zone
		if i.zoneGauges[zone] {
			continue
		}
		if i.zoneGauges == nil {
			i.zoneGauges = map[string]bool{}
		}
		i.zoneGauges[zone] = true
		i.metrics.Gauge("tacktally_running_in_zone{zone=\""+zone+"\"}", func() float64 { return float64(i.proxy.RunningInZone(zone)) })
	}
}
