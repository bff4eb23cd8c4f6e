package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLoadAcceptsExample(t *testing.T) {
	is := is.New(t)
	s, err := Load("../../examples/tacktallyd.json")
	is.NoErr(err)
	is.Equal(s.Zone, "bole")
	is.Equal(time.Duration(s.Peers.Heartbeat), 500*time.Millisecond) // the default
	is.Equal(s.Peers.Advertise, s.Peers.Address)
}

func TestParseReportsAllFaultsAtOnce(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte(`{
		"callers": {"address": "localhost"},
		"operators": {"address": "10.0.0.1:8081"},
		"peers": {"address": "0.0.0.0:8082", "suspectAfter": "600ms"},
		"platform": {"url": "10.0.0.2"},
		"upstreams": {"retryBudget": 3},
		"log": {"level": "loud"}
	}`))
	var f Faults
	is.True(errors.As(err, &f))
	for i, path := range []string{
		"/zone", "/callers/address", "/peers/advertise", "/platform/url", "/operators/tokenFile",
		"/peers/suspectAfter", "/upstreams/retryBudget", "/log/level",
	} {
		is.True(strings.HasPrefix(f[i], path+" "))
	}
	is.Equal(len(f), 8)
}

func TestParseErrorsNameTheSettingOrRemedy(t *testing.T) {
	for text, want := range map[string]string{
		`{"zone": "a", "quee": {}}`:              "/quee: unknown setting",
		`{"drain": {"timeout": "5 minutes"}}`:    "write a number and a unit",
		`{"zone": "a"`:                           "not valid",
		`{"callers": {"maxBodyBytes": "a lot"}}`: "not valid",
	} {
		_, err := Parse([]byte(text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}
