package entry

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/go-json-experiment/json"

	"github.com/tacktally/tacktally/internal/view"
)

// ZoneReportPath is where the metrics listener says what is known of availability zones and of cold
// upstreams, as JSON of type Places.
const ZoneReportPath = "/places"

// ZoneReport is what one instance knows of availability zones and of cold upstreams.
type ZoneReport struct {
	Instance string `json:"instance"`
	// Version is the revision of the source up to which evacuations are known; 0 where they
	// aren't.
	Version int64  `json:"version"`
	Zones   []Zone `json:"zones"`
	// Cold upstreams by what their entries say.
	Cold []ColdUpstream `json:"cold"`
	// LimitedGrants is how often waiting work was held back here by the limits of starts alone.
	LimitedGrants int64 `json:"heldStarts"`
}

// Zone is one availability zone.
type Zone struct {
	Name      string `json:"name"`
	Evacuated bool   `json:"evacuated"`
	// Upstreams that are listed there.
	Upstreams int `json:"upstreams"`
	// Running are this instance's requests at its upstreams now. A zone is empty once this is 0 at
	// all instances.
	Running int `json:"running"`
}

// ColdUpstream is an upstream that bears less than others for a while.
type ColdUpstream struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// RemainingMS is how many milliseconds longer.
	RemainingMS int64 `json:"leftMS"`
}

// places tells what is known now.
func (i *Instance) places() ZoneReport {
	evacuated := i.view.Evacuated()
	list := i.view.List().Upstreams
	out := ZoneReport{Instance: i.address, Version: evacuated.Version, Zones: i.zones(evacuated.Zones, list), LimitedGrants: i.fleet.HeldStarts()}
	for _, u := range list {
		if u.Cold > 0 {
			out.Cold = append(out.Cold, ColdUpstream{ID: u.ID, Zone: u.Zone, RemainingMS: u.Cold.Milliseconds()})
		}
	}
	return out
}

// zones are all that upstreams are in, or that are evacuated, in order.
func (i *Instance) zones(evacuated []string, list []view.Upstream) []Zone {
	byName := map[string]*Zone{}
	zone := func(name string) *Zone {
		if byName[name] == nil {
			byName[name] = &Zone{Name: name, Running: i.proxy.RunningIn(name)}
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

func (i *Instance) servePlaces(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.MarshalWrite(w, i.places(), json.FormatNilSliceAsNull(false)) // whoever asks may have gone
}

// gaugeZones keeps a gauge of the requests at each zone's upstreams.
func (i *Instance) gaugeZones(upstreams []view.Upstream) {
	for _, u := range upstreams {
		zone := u.Zone
		if i.gauged[zone] {
			continue
		}
		if i.gauged == nil {
			i.gauged = map[string]bool{}
		}
		i.gauged[zone] = true
		i.metrics.Gauge("tacktally_running_in_zone{zone=\""+zone+"\"}", func() float64 { return float64(i.proxy.RunningIn(zone)) })
	}
}
