// Package logs analyses the logs of instances: it traces a single request, and counts the
// outcomes of all requests over time.
package logs

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxLineBytes is the maximum length of a line, in bytes.
const maxLineBytes = 1 << 20

// Line is a line of a log.
type Line struct {
	Time     time.Time
	Instance string
	Event    string
	// Fields holds all key=value pairs of the line.
	Fields map[string]string
	// Text is the line as written, from its first pair on.
	Text string
}

// Milliseconds returns the duration in a field that holds milliseconds; 0 if the field is
// absent or not a number.
func (l *Line) Milliseconds(key string) time.Duration {
	ms, err := strconv.ParseFloat(l.Fields[key], 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Read reads the lines of a log. It skips text that isn't a log line, and ignores prefixes
// that log collectors add to lines.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parse(scanner.Text()); ok {
			out = append(out, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("the log can't be read to its end: %w", err)
	}
	return out, nil
}

// Sort orders the lines of several logs by time.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

func parse(text string) (Line, bool) {
	at := strings.Index(text, "time=")
	if at < 0 {
		return Line{}, false
	}
	text = text[at:]
	l := Line{Fields: map[string]string{}, Text: text}
	for rest := text; rest != ""; {
		var key, value string
		key, value, rest = nextPair(rest)
		l.Fields[key] = value
	}
	t, err := time.Parse(time.RFC3339, l.Fields["time"])
	if err != nil || l.Fields["event"] == "" {
		return Line{}, false
	}
	l.Time, l.Instance, l.Event = t, l.Fields["instance"], l.Fields["event"]
	return l, true
}

// nextPair splits off the first pair. A value that isn't a valid quoted Go string ends at the
// next space.
func nextPair(text string) (key, value, rest string) {
	key, after, _ := strings.Cut(text, "=")
	if quoted, err := strconv.QuotedPrefix(after); err == nil {
		if plain, err := strconv.Unquote(quoted); err == nil {
			return key, plain, strings.TrimLeft(after[len(quoted):], " ")
		}
	}
	value, rest, _ = strings.Cut(after, " ")
	return key, value, strings.TrimLeft(rest, " ")
}
