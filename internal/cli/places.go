package cli

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/dghubble/sling"
	"github.com/go-json-experiment/json"

	"github.com/tacktally/tacktally/internal/entry"
)

type placesCommand struct {
	session *session
	Metrics []string `long:"metrics" value-name:"URL" required:"true" description:"Metrics address of an instance (routed.metrics), such as http://10.1.0.25:7600; may be repeated for more instances"`
}

// errNoZoneReport is returned if the zone report of an instance can't be read.
var errNoZoneReport = errors.New("the zone report of the instance can't be read; name its metrics address, routed.metrics, with --metrics")

// Execute implements flags.Commander.
func (c *placesCommand) Execute([]string) error {
	var all []entry.ZoneReport
	for _, url := range c.Metrics {
		p, err := c.read(url)
		if err != nil {
			return err
		}
		all = append(all, p)
	}
	if c.session.Output == "json" {
		return json.MarshalWrite(c.session.out, all, json.FormatNilSliceAsNull(false))
	}
	return c.session.table(func(w io.Writer) {
		for _, p := range all {
			printZoneReport(w, p)
		}
		printTotal(w, all)
	})
}

func (c *placesCommand) read(url string) (p entry.ZoneReport, err error) {
	request, err := sling.New().Base(url).Get(entry.ZoneReportPath).Request()
	if err != nil {
		return p, fmt.Errorf("%w: %q is not a URL: %w", errNoZoneReport, url, err)
	}
	response, err := http.DefaultClient.Do(request.WithContext(c.session.ctx))
	if err != nil {
		return p, fmt.Errorf("%w: %w", errNoZoneReport, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return p, fmt.Errorf("%w: %s answered %s", errNoZoneReport, url, response.Status)
	}
	if err := json.UnmarshalRead(response.Body, &p); err != nil {
		return p, fmt.Errorf("%w: decode the response of %s: %w", errNoZoneReport, url, err)
	}
	return p, nil
}

func printZoneReport(w io.Writer, p entry.ZoneReport) {
	fmt.Fprintf(w, "instance\t%s\tevacuations known up to revision %d, requests delayed by grant limits %d times\n", p.Instance, p.Version, p.LimitedGrants)
	for _, z := range p.Zones {
		fmt.Fprintf(w, "zone\t%s\t%s, %d upstreams, %d requests of this instance\n", z.Name, zoneState(z.Evacuated), z.Upstreams, z.Running)
	}
	for _, u := range p.Cold {
		fmt.Fprintf(w, "cold\t%s\tin %s, for %d ms more\n", u.ID, u.Zone, u.RemainingMS)
	}
}

func zoneState(evacuated bool) string {
	if evacuated {
		return "evacuated"
	}
	return "in service"
}

// printTotal prints the number of requests in each evacuated zone, over all queried instances.
func printTotal(w io.Writer, all []entry.ZoneReport) {
	running := map[string]int{}
	for _, p := range all {
		for _, z := range p.Zones {
			if z.Evacuated {
				running[z.Name] += z.Running
			}
		}
	}
	for zone, n := range running {
		fmt.Fprintf(w, "evacuated\t%s\t%d requests of the %d instances queried\n", zone, n, len(all))
	}
}
