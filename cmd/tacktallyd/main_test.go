package main

import (
	"bufio"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/go-json-experiment/json"
	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/platform"
	standinplatform "github.com/tacktally/tacktally/internal/standin/platform"
	"github.com/tacktally/tacktally/internal/standin/rig"
	"github.com/tacktally/tacktally/internal/standin/service"
)

// argumentsVariable is the environment variable that makes the test binary run as tacktallyd, with
// the arguments that it holds.
const argumentsVariable = "TACKTALLYD_TEST_ARGUMENTS"

func TestMain(m *testing.M) {
	if text, ok := os.LookupEnv(argumentsVariable); ok {
		os.Args = append(os.Args[:1], strings.Fields(text)...)
		main()
	}
	os.Exit(m.Run())
}

func command(arguments string) *exec.Cmd {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), argumentsVariable+"="+arguments)
	return c
}

func settingsFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const minimalSettings = `{"zone": "bole", "callers": {"address": "127.0.0.1:0"}, "operators": {"address": "127.0.0.1:0"},
	"peers": {"address": "127.0.0.1:0", "advertise": "127.0.0.1:9"}, "platform": {"url": "http://127.0.0.1:9"}}`

func TestExitCodes(t *testing.T) {
	good := settingsFile(t, minimalSettings)
	bad := settingsFile(t, `{"zone": ""}`)
	taken := settingsFile(t, strings.Replace(minimalSettings, "127.0.0.1:0", "203.0.113.1:1", 1))
	for name, c := range map[string]struct {
		arguments string
		code      int
		want      string
	}{
		"version":        {"--version", 0, "tacktallyd"},
		"help":           {"--help", 0, "--settings"},
		"check":          {"--check -s " + good, 0, "valid"},
		"check faults":   {"--check -s " + bad, exitSettings, "/zone is missing; name the availability zone; /callers/address"},
		"no file":        {"-s none.json", exitSettings, "name an existing file"},
		"unknown option": {"--chekc", exitSettings, "chekc"},
		"can't listen":   {"-s " + taken, exitFailed, "choose another"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			run := command(c.arguments)
			out, _ := run.CombinedOutput()
			is.Equal(run.ProcessState.ExitCode(), c.code)
			is.True(strings.Contains(string(out), c.want))
		})
	}
}

// A signal shuts the daemon down gracefully, and the log shows it.
func TestSignalShutsDownGracefully(t *testing.T) {
	is := is.New(t)
	run := command("-s " + settingsFile(t, minimalSettings))
	log, err := run.StdoutPipe()
	is.NoErr(err)
	is.NoErr(run.Start())
	lines := bufio.NewScanner(log)
	seen := ""
	for lines.Scan() {
		seen += lines.Text() + "\n"
		if strings.Contains(lines.Text(), "event=started") {
			is.NoErr(run.Process.Signal(syscall.SIGTERM))
		}
	}
	is.NoErr(run.Wait())
	is.True(strings.Contains(seen, "event=draining"))
	is.True(strings.Contains(seen, "event=stopped"))
}

// SIGINT aborts a shutdown that waits for requests, with its own exit code. A second SIGTERM
// doesn't, since supervisors repeat it.
func TestOnlyInterruptAbortsShutdown(t *testing.T) {
	for name, c := range map[string]struct {
		second syscall.Signal
		code   int
	}{
		"interrupt":      {syscall.SIGINT, exitForced},
		"second SIGTERM": {syscall.SIGTERM, 0},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(stopDuringRequest(t, c.second), c.code) })
	}
}

// stopDuringRequest sends SIGTERM to a daemon that serves a request, and a second signal while it
// waits for the request, and returns its exit code. If the second signal is SIGTERM, the request
// ends after it was sent.
func stopDuringRequest(t *testing.T, second syscall.Signal) int {
	is := is.New(t)
	arrived, hold := make(chan service.Call, 1), make(chan struct{})
	if second != syscall.SIGTERM {
		defer close(hold)
	}
	upstream := service.New()
	upstream.SetFaults(service.Faults{Arrived: arrived, Hold: hold})
	serve := func(h http.Handler) string {
		s := httptest.NewServer(h)
		t.Cleanup(s.CloseClientConnections)
		return s.URL
	}
	upstreamURL := serve(upstream)
	p := standinplatform.New()
	document, err := json.Marshal(rig.Document())
	is.NoErr(err)
	p.Publish(1, document)
	p.SetInstances([]platform.Instance{{Address: strings.TrimPrefix(upstreamURL, "http://"), Zone: "bole", Set: rig.Bookings, State: platform.Live}})
	run := command("-s " + settingsFile(t, strings.Replace(minimalSettings, "http://127.0.0.1:9", serve(p), 1)))
	log, err := run.StdoutPipe()
	is.NoErr(err)
	is.NoErr(run.Start())
	lines := bufio.NewScanner(log)
	callers, listed, sent := "", false, false
	for lines.Scan() {
		for _, pair := range strings.Fields(lines.Text()) {
			if rest, ok := strings.CutPrefix(pair, "callers="); ok {
				callers = rest
			}
		}
		listed = listed || strings.Contains(lines.Text(), "event=instances")
		switch {
		case listed && callers != "" && !sent: // the list may be logged before the callers' address
			sent = true
			go post(callers)
			<-arrived
			is.NoErr(run.Process.Signal(syscall.SIGTERM))
		case strings.Contains(lines.Text(), "event=draining"):
			is.NoErr(run.Process.Signal(second))
			if second == syscall.SIGTERM {
				close(hold)
			}
		}
	}
	_ = run.Wait()
	return run.ProcessState.ExitCode()
}

// post calls the service until the daemon, which has just received its list, serves the call.
func post(callers string) {
	for {
		h, err := http.NewRequest(http.MethodPost, "http://"+callers+"/services/"+rig.Bookings+"/lookup", nil)
		if err != nil {
			return
		}
		h.Header.Set("Authorization", "Bearer "+rig.APIKey)
		r, err := http.DefaultClient.Do(h)
		if err != nil {
			return
		}
		r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return
		}
	}
}
