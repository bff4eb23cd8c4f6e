package cli

import (
	"bufio"
	"bytes"
	"context"
	plainjson "encoding/json" // for durations as numbers
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-json-experiment/json"
	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/entry"
	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/standin/engine"
	"github.com/tacktally/tacktally/internal/standin/rig"
)

var spec = engine.Spec{PrefillPerSecond: 1e6, Slots: 4, ChunkTokens: 512, CacheBlocks: 8}

func start(t *testing.T) (r *rig.Harness, run func(args ...string) (int, string, string)) {
	t.Helper()
	r, err := rig.Start(rig.Options{Engines: []engine.Spec{spec}, Daemons: 2})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	address := "http://" + r.Daemons[0].OperatorAddress()
	return r, func(args ...string) (int, string, string) {
		var out, errOut bytes.Buffer
		code := Run(append([]string{"--address", address}, args...), &out, &errOut, fakePlatform)
		return code, out.String(), errOut.String()
	}
}

// fakePlatform is a fake of the users' platform.
var fakePlatform = Platform{Decode: decodeRouted, Demo: func(_ context.Context, out io.Writer) error {
	_, err := io.WriteString(out, "the demo of routed requests\n")
	return err
}}

// decodeRouted decodes documents in the form of routing.Document. The form in which they are
// published is decoded by the platform's adapter.
func decodeRouted(content []byte) (*routing.Document, error) {
	var d routing.Document
	if err := plainjson.Unmarshal(content, &d); err != nil {
		return nil, err
	}
	return &d, nil
}

func TestValidateRoutedNeedsNoInstance(t *testing.T) {
	const services = `"Services":[{"Name":"app"},{"Name":"desk"}]`
	const route = `{"Name":"r","Host":"h","Prefix":"/","Kind":1,"Timeout":1000000000,"MaxAttempts":1,"Split":[{"Service":"app","Weight":1}]}`
	for name, c := range map[string]struct {
		output, document string
		code             int
		want             string
	}{
		"valid":           {"table", `{"Version":7,` + services + `,"Routes":[` + route + `]}`, ExitDone, "accepted: version 7, 1 routes to app, desk"},
		"as JSON":         {"json", `{"Version":7,` + services + `,"Routes":[` + route + `]}`, ExitDone, `{"version":7,"routes":1,"services":["app","desk"]}`},
		"unknown service": {"table", `{"Version":7,"Routes":[` + route + `]}`, ExitFailed, "app"},
		"not a document":  {"table", `{`, ExitFailed, "the configuration can't be decoded; publish one that decodes"},
		"unknown kind":    {"table", `{` + services + `,"Routes":[` + strings.Replace(route, `"Kind":1`, `"Kind":9`, 1) + `]}`, ExitFailed, "kind"},
		"no timeout":      {"table", `{` + services + `,"Routes":[` + strings.Replace(route, `1000000000`, `0`, 1) + `]}`, ExitFailed, "timeout"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "routed.json")
			is.NoErr(os.WriteFile(file, []byte(c.document), 0o600))
			var out, errOut bytes.Buffer
			is.Equal(Run([]string{"-o", c.output, "validate", "--routed", file}, &out, &errOut, fakePlatform), c.code)
			if output := out.String() + errOut.String(); !strings.Contains(output, c.want) {
				t.Error(output)
			}
		})
	}
}

func TestCommands(t *testing.T) {
	_, run := start(t)
	good := write(t, rig.Document())
	bad := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(bad, []byte(`{"tiers":[{"metadata":{"name":"x"},"spec":{"rank":-1,"timeoutMillis":0}}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		args []string
		code int
		want []string // in the output or the error
	}{
		"help":            {[]string{"--help"}, ExitDone, []string{"validate", "Exit codes"}},
		"get":             {[]string{"get", "EngineSet"}, ExitDone, []string{"booking-desk", "IN FORCE"}},
		"get by plural":   {[]string{"get", "tiers"}, ExitDone, []string{"live", "desk", "tagging"}},
		"get one as JSON": {[]string{"-o", "json", "get", "Organisation", "gebremedhin"}, ExitDone, []string{"…"}},
		"get unknown":     {[]string{"get", "Tier", "gold"}, ExitFailed, []string{"list the kind"}},
		"get no kind":     {[]string{"get", "Gold"}, ExitFailed, []string{"use Organisation"}},
		"validate":        {[]string{"validate", good}, ExitDone, []string{"accepted"}},
		"validate faults": {[]string{"validate", bad}, ExitFailed, []string{"/tiers/0/spec/rank", "/tiers/0/spec/timeoutMillis", "correct the faults"}},
		"validate absent": {[]string{"validate", "none.json"}, ExitFailed, []string{"name a readable file"}},
		"explain":         {[]string{"explain", "--organisation", "gebremedhin", "--model", rig.Model}, ExitDone, []string{"desk (rank 1", "1 upstreams"}},
		"explain a call":  {[]string{"explain", "--organisation", "gebremedhin", "--service", "bookings", "--path", "/confirm"}, ExitDone, []string{"needs an issued key"}},
		"explain nothing": {[]string{"explain", "--organisation", "gebremedhin"}, ExitFailed, []string{"model="}},
		"status":          {[]string{"status"}, ExitDone, []string{"in bole", "revision 1"}},
		"unknown command": {[]string{"gte"}, ExitUsage, []string{"gte"}},
		"missing option":  {[]string{"explain"}, ExitUsage, []string{"organisation"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, out, errOut := run(c.args...)
			is.Equal(code, c.code)
			for _, want := range c.want {
				is.True(strings.Contains(out+errOut, want))
			}
			is.True(!strings.Contains(out, "2c26b46b68ffc68ff99b453c1d")) // hashes of keys are shortened
		})
	}
}

// After an incident, on-call engineers have only the logs.
func TestTraceAndOutcomesFromLogs(t *testing.T) {
	dir := t.TempDir()
	log := filepath.Join(dir, "log")
	content := "time=2026-02-03T12:00:01.000Z instance=a event=shard_owner service=\"quota of crews\" owner=b\n" +
		"time=2026-02-03T12:00:02.000Z instance=a event=request_ended request=1 reason=organisation_limit organisation=crews took=4\n"
	if err := os.WriteFile(log, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	empty := filepath.Join(dir, "empty")
	if err := os.WriteFile(empty, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	plot := filepath.Join(dir, "plot.svg")
	for name, c := range map[string]struct {
		args []string
		code int
		want string
	}{
		"trace":             {[]string{"trace", "--log", log, "1"}, ExitDone, "owner of the organisation's token bucket"},
		"trace nothing":     {[]string{"trace", "--log", log, "7"}, ExitFailed, "give the logs of all instances"},
		"no log":            {[]string{"trace", "--log", filepath.Join(dir, "none"), "1"}, ExitFailed, "name a readable file"},
		"no lines":          {[]string{"outcomes", "--log", empty}, ExitFailed, "name files with lines"},
		"outcomes":          {[]string{"outcomes", "--log", log, "--plot", plot}, ExitDone, "organisation_limit"},
		"outcomes, no step": {[]string{"outcomes", "--log", log, "--step", "0s"}, ExitFailed, "above 0"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out, errOut bytes.Buffer
			is.Equal(Run(c.args, &out, &errOut, fakePlatform), c.code)
			is.True(strings.Contains(out.String()+errOut.String(), c.want))
		})
	}
	if _, err := os.Stat(plot); err != nil {
		t.Error(err)
	}
}

// Operators evacuate a zone and wait until no instance has requests in it.
func TestPlacesSumsRequestsInEvacuatedZones(t *testing.T) {
	is := is.New(t)
	var urls []string
	for _, running := range []int{3, 4} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = json.MarshalWrite(w, entry.ZoneReport{
				Instance: "10.0.0.1:1", Version: 9,
				Zones: []entry.Zone{{Name: "bole", Evacuated: true, Upstreams: 2, Running: running}, {Name: "piassa", Running: 5}},
				Cold:  []entry.ColdUpstream{{ID: "i-1", Zone: "piassa", RemainingMS: 1200}},
			})
		}))
		defer s.Close()
		urls = append(urls, "--metrics", s.URL)
	}
	var out, errOut bytes.Buffer
	is.Equal(Run(append([]string{"places"}, urls...), &out, &errOut, fakePlatform), ExitDone)
	is.True(strings.Contains(out.String(), "7 requests of the 2 instances queried"))
	is.True(strings.Contains(out.String(), "for 1200 ms more"))
	is.Equal(Run([]string{"places", "--metrics", "http://127.0.0.1:1"}, &out, &errOut, fakePlatform), ExitFailed)
	is.True(strings.Contains(errOut.String(), "routed.metrics"))
}

func TestDemoRoutedRunsDemoOfPlatform(t *testing.T) {
	is := is.New(t)
	var out, errOut bytes.Buffer
	is.Equal(Run([]string{"demo", "--routed"}, &out, &errOut, fakePlatform), ExitDone)
	is.Equal(out.String(), "the demo of routed requests\n")
}

func TestErrorWithoutInstanceNamesAddressFlag(t *testing.T) {
	is := is.New(t)
	var out, errOut bytes.Buffer
	is.Equal(Run([]string{"--address", "http://127.0.0.1:1", "status"}, &out, &errOut, fakePlatform), ExitFailed)
	is.True(strings.Contains(errOut.String(), "name another with --address"))
}

func write(t *testing.T, document any) string {
	t.Helper()
	content, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "document.json")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// A watch from the revision of a list prints each change once. A watch from a revision before
// the known changes fails and asks to list again.
func TestWatch(t *testing.T) {
	is := is.New(t)
	r, run := start(t)
	d := rig.Document()
	d.Tiers[0].Spec.TimeoutMillis = 7
	d.Services = nil
	content, err := json.Marshal(d)
	is.NoErr(err)
	reader, writer := io.Pipe()
	go Run([]string{"--address", "http://" + r.Daemons[0].OperatorAddress(), "watch", "--after", "1"}, writer, io.Discard, fakePlatform)
	r.Platform.Publish(2, content)
	lines := bufio.NewReader(reader)
	seen := map[string]bool{}
	for range 2 {
		line, err := lines.ReadString('\n')
		is.NoErr(err)
		seen[strings.TrimSpace(line)] = true
	}
	is.True(seen["2\tmodified\tTier\tlive"])
	is.True(seen["2\tdeleted\tService\tbookings"])
	code, _, errOut := run("watch", "--after", "-1")
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(errOut, "list again"))
	code, _, _ = run("drain")
	is.Equal(code, ExitDone)
}
