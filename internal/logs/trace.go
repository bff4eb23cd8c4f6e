package logs

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Trace is what logs contain about a request.
type Trace struct {
	// Lines are the lines that name the request, ordered by time.
	Lines []Line
	// Causes are events that may explain how the request ended.
	Causes []Cause
}

// Cause is a line that may explain how a request ended.
type Cause struct {
	Explanation string
	Line        Line
}

// failureWindow is the time before and after a failed attempt in which other failures at the same
// upstream are counted.
const failureWindow = 2 * time.Second

// TraceRequest returns the trace of a request from lines that are ordered by time. The trace is empty
// if no line names the request.
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

// causesOfLine returns the events that may explain a line of a request.
func causesOfLine(lines []Line, l Line) []Cause {
	if l.Event == "attempt_failed" {
		return otherFailures(lines, l)
	}
	if l.Event != "request_ended" {
		return nil
	}
	switch l.Fields["reason"] {
	case "organisation_limit":
		return lastEventBefore(lines, l, "shard_owner", "service", "quota of "+l.Fields["organisation"], "owner of the organisation's token bucket")
	case "deadline_expired", "displaced_by_higher_tier", "predicted_late", "queue_full", "no_upstream":
		return lastEventBefore(lines, l, "shard_owner", "service", l.Fields["service"], "owner that scheduled the service's upstreams")
	case "stale_configuration", "no_configuration":
		return append(lastEventBefore(lines, l, "source_lost", "instance", l.Instance, "connection to the store lost"),
			lastEventBefore(lines, l, "config_accepted", "instance", l.Instance, "configuration in force")...)
	case "no_route", "unknown_api_key":
		return lastEventBefore(lines, l, "config_accepted", "instance", l.Instance, "configuration in force")
	}
	return nil
}

// lastEventBefore returns the last line with the given event, and with the given value for the key,
// that the instance of another line wrote up to the time of that line.
func lastEventBefore(lines []Line, before Line, event, key, value, explanation string) []Cause {
	for i := len(lines) - 1; i >= 0; i-- {
		l := lines[i]
		if l.Time.After(before.Time) || l.Event != event || l.Instance != before.Instance || l.Fields[key] != value {
			continue
		}
		return []Cause{{Explanation: explanation, Line: l}}
	}
	return nil
}

// upstreamsIn returns the upstreams that lines name, in the order of their first occurrence.
func upstreamsIn(lines []Line) []string {
	var out []string
	for _, l := range lines {
		if u := l.Fields["upstream"]; u != "" && !slices.Contains(out, u) {
			out = append(out, u)
		}
	}
	return out
}

// upstreamChanges returns, for each instance, the first line that reports an upstream as leaving or
// removed, and the first later one that reports it as ready again. They show whether an instance that
// sent a request to the upstream had received the change late, or was using the upstream again.
func upstreamChanges(lines []Line, upstream string) []Cause {
	var out []Cause
	reported := map[string]int{} // number of lines returned, by instance
	for _, l := range lines {
		state := changedState(l, upstream)
		switch ready := state == "ready"; {
		case state == "":
		case !ready && reported[l.Instance] == 0:
			reported[l.Instance]++
			out = append(out, Cause{Explanation: fmt.Sprintf("%s stopped using %s (%s)", l.Instance, upstream, state), Line: l})
		case ready && reported[l.Instance] == 1:
			reported[l.Instance]++
			out = append(out, Cause{Explanation: fmt.Sprintf("%s resumed using %s", l.Instance, upstream), Line: l})
		}
	}
	return out
}

// changedState returns the state to which an upstream changed according to a line, or "".
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

// otherFailures counts the attempts of other requests that failed at the same upstream within
// failureWindow. It returns no cause if there are none.
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
	return []Cause{{Explanation: fmt.Sprintf("%d other attempts at %s failed within %v", n, failed.Fields["upstream"], failureWindow), Line: failed}}
}
