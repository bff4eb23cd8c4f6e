// Package loadreport holds the load that an upstream reports in its responses.
package loadreport

// MaxFigure bounds each figure of a report. Larger ones are errors of the upstream.
const MaxFigure = 1_000_000

// Report is the load of an upstream at the moment at which a response began. The zero Report means
// that the response had none.
type Report struct {
	// Running and Waiting are the requests that the upstream was processing and had queued.
	Running int `cbor:"1,keyasint,omitempty"`
	Waiting int `cbor:"2,keyasint,omitempty"`
	// Slots is the number of requests that it processes at once.
	Slots int `cbor:"3,keyasint,omitempty"`
	// WorkPercent is how long work takes on its machine at that moment, in percent of the usual time
	// on an ordinary machine; 0 if it isn't reported.
	WorkPercent int `cbor:"4,keyasint,omitempty"`
	// Brittle reports that the upstream fails once it refuses more than MaxRefusals requests in a second
	// for lack of room.
	Brittle     bool `cbor:"6,keyasint,omitempty"`
	MaxRefusals int  `cbor:"7,keyasint,omitempty"`
}

// IsSet reports whether the response had a report.
func (r Report) IsSet() bool { return r != Report{} }

// IsValid reports whether the figures are possible. A request may wait although a slot is free:
// upstreams hold the slot for a moment after its request has ended. Without slots, a report may say
// nothing but that its upstream is brittle.
func (r Report) IsValid() bool {
	for _, n := range []int{r.Running, r.Waiting, r.Slots, r.WorkPercent, r.MaxRefusals} {
		if n < 0 || n > MaxFigure {
			return false
		}
	}
	if r.Slots == 0 {
		return r.Brittle && r == Report{Brittle: true, MaxRefusals: r.MaxRefusals}
	}
	return r.Running <= r.Slots && (r.Brittle || r.MaxRefusals == 0)
}
