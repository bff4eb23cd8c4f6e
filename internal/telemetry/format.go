package telemetry

import (
	"io"
	"strconv"
	"strings"

	"github.com/phuslu/log"
)

// formatPairs writes an event as one line of key=value pairs. The logfmt formatter of
// the library is not used: it writes a true value without "=" and a message without a key.
func formatPairs(w io.Writer, a *log.FormatterArgs) (int, error) {
	line := make([]byte, 0, 256)
	line = appendPair(line, "time", a.Time)
	line = appendPair(line, "level", a.Level)
	for _, kv := range a.KeyValues {
		line = appendPair(line, kv.Key, kv.Value)
	}
	if a.Message != "" {
		line = appendPair(line, "message", a.Message)
	}
	line[len(line)-1] = '\n' // replaces the last space
	return w.Write(line)
}

func appendPair(line []byte, key, value string) []byte {
	line = append(line, key...)
	line = append(line, '=')
	if needsQuotes(value) {
		line = strconv.AppendQuote(line, value)
	} else {
		line = append(line, value...)
	}
	return append(line, ' ')
}

func needsQuotes(value string) bool {
	return value == "" || strings.ContainsFunc(value, func(r rune) bool {
		return r <= ' ' || r == '"' || r == '=' || r == '\\' || r >= 0x7f
	})
}
