package logs

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Trace is what logs tell of one request.
type Trace struct {
	// Lines are those that name it, in the order of their times.
	Lines []Line
	// Causes are what happened before, and may have decided how it ended.
	Causes []Cause
}

// Cause is a line that may explain how a request ended.
type Cause struct {
	Explanation string
	Line        Line
}

// failureWindow is how far from a failed attempt others at the same upstream are looked for.
const failureWindow = 2 * time.Second

// TraceRequest returns the story of a request from lines in the order of their times. It has no
// lines if none names the request.
func TraceRequest(lines []Line, request string) Trace {
	var s Trace
	for _, l := range lines {
		if l.Fields["request"] == request {
			s.Lines = append(s.Lines, l)
		}
	}
	for _, l := range s.Lines {
		s.Causes = append(s.Causes, causesOfLine(lines, l)...)
	}
	for _, upstream := range upstreamsIn(s.Lines) {
		s.Causes = append(s.Causes, upstreamChanges(lines, upstream)...)
	}
	return s
}

// causesOfLine looks for what decided on one line of a request.
func causesOfLine(lines []Line, l Line) []Cause {
	if l.Event == "attempt_failed" {
		return otherFailures(lines, l)
	}
	if l.Event != "request_ended" {
		return nil
	}
	switch l.Fields["reason"] {
	case "organisation_limit":
		return lastEventBefore(lines, l, "shard_owner", "service", "quota of "+l.Fields["organisation"], "who kept the organisation's bucket")
	case "deadline_expired", "displaced_by_higher_tier", "predicted_late", "queue_full", "no_upstream":
		return lastEventBefore(lines, l, "shard_owner", "service", l.Fields["service"], "who scheduled the service's upstreams")
	case "stale_configuration", "no_configuration":
		return append(lastEventBefore(lines, l, "source_lost", "instance", l.Instance, "the store was lost"),
			lastEventBefore(lines, l, "config_accepted", "instance", l.Instance, "the configuration in force")...)
	case "no_route", "unknown_api_key":
		return lastEventBefore(lines, l, "config_accepted", "instance", l.Instance, "the configuration in force")
	}
	return nil
}

// lastEventBefore returns the lastEventBefore line of an event, with a value, that its instance wrote before.
func lastEventBefore(lines []Line, before Line, event, key, value, why string) []Cause {
	for i := len(lines) - 1; i >= 0; i-- {
		l := lines[i]
		if l.Time.After(before.Time) || l.Event != event || l.Instance != before.Instance || l.Fields[key] != value {
			continue
		}
		return []Cause{{Explanation: why, Line: l}}
	}
	return nil
}

// upstreamsIn returns the upstreams that lines of a request name, in order.
func upstreamsIn(lines []Line) []string {
	var out []string
	for _, l := range lines {
		if u := l.Fields["upstream"]; u != "" && !slices.Contains(out, u) {
			out = append(out, u)
		}
	}
	return out
}

// upstreamChanges returns, for each instance, the first line that says that an upstream leaves or
// isn't listed any more, and the first one that takes it back. An instance that sent to it later
// than others heard of it was late, or had taken it back.
func upstreamChanges(lines []Line, upstream string) []Cause {
	var out []Cause
	told := map[string]int{} // by instance: the lines that were taken
	for _, l := range lines {
		state := changedState(l, upstream)
		switch ready := state == "ready"; {
		case state == "":
		case !ready && told[l.Instance] == 0:
			told[l.Instance]++
			out = append(out, Cause{Explanation: fmt.Sprintf("when %s took %s off its choice (%s)", l.Instance, upstream, state), Line: l})
		case ready && told[l.Instance] == 1:
			told[l.Instance]++
			out = append(out, Cause{Explanation: fmt.Sprintf("when %s took %s back", l.Instance, upstream), Line: l})
		}
	}
	return out
}

// changedState returns the state to which a line says that an upstream has changed, or "".
func changedState(l Line, upstream string) string {
	if l.Event != "upstreams" {
		return ""
	}
	for change := range strings.SplitSeq(l.Fields["changed"], ", ") {
		if id, state, _ := strings.Cut(change, " "); id == upstream {
			return state
		}
	}
	return ""
}

// otherFailures counts the other attempts that failed at the same upstream about then.
func otherFailures(lines []Line, failed Line) []Cause {
	n := 0
	for _, l := range lines {
		same := l.Event == "attempt_failed" && l.Fields["upstream"] == failed.Fields["upstream"] && l.Fields["request"] != failed.Fields["request"]
		if same && l.Time.Sub(failed.Time).Abs() <= failureWindow {
			n++
		}
	}
	if n == 0 {
		return nil
	}
	return []Cause{{Explanation: fmt.Sprintf("%d other attempts to %s failed within %v", n, failed.Fields["upstream"], failureWindow), Line: failed}}
}
