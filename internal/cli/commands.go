package cli

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/dghubble/sling"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/jessevdk/go-flags"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/config"
	"github.com/tacktally/tacktally/internal/demo"
	"github.com/tacktally/tacktally/internal/experiment"
	"github.com/tacktally/tacktally/internal/operatorapi"
	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/slopes"
	"github.com/tacktally/tacktally/internal/watch"
)

// errRejected makes validate exit with code 1 after it has printed the faults.
var errRejected = errors.New("the document is rejected; correct the faults above")

// call sends a request to the resource API and returns the response, whose body the caller closes.
// A response with an error status is returned as an error.
func (s *session) call(r *sling.Sling) (*http.Response, error) {
	if s.TokenFile != "" {
		token, err := os.ReadFile(s.TokenFile)
		if err != nil {
			return nil, fmt.Errorf("the --token-file can't be read; name a readable file: %w", err)
		}
		r = r.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	}
	h, err := r.Request()
	if err != nil {
		return nil, fmt.Errorf("--address %q is not a URL; write one such as http://127.0.0.1:8081: %w", s.Address, err)
	}
	response, err := http.DefaultClient.Do(h.WithContext(s.ctx))
	if err != nil {
		return nil, fmt.Errorf("no instance answers at %s; name another with --address: %w", s.Address, err)
	}
	if response.StatusCode < http.StatusBadRequest {
		return response, nil
	}
	defer response.Body.Close()
	var p api.Problem
	if json.UnmarshalRead(response.Body, &p) != nil || p.Detail == "" {
		return nil, fmt.Errorf("the instance answered %s", response.Status)
	}
	return nil, errors.New(p.Detail)
}

func (s *session) sling() *sling.Sling { return sling.New().Base(s.Address) }

// read sends a request and decodes the response into a value. With -o json it also prints the
// response, and returns printed true.
func (s *session) read(r *sling.Sling, into any) (printed bool, err error) {
	response, err := s.call(r)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return false, err
	}
	if s.Output == "json" {
		v := jsontext.Value(content)
		if err := v.Indent(); err != nil {
			return false, err
		}
		fmt.Fprintf(s.out, "%s\n", v)
		return true, json.Unmarshal(v, into)
	}
	return false, json.Unmarshal(content, into)
}

func (s *session) table(rows func(w io.Writer)) error {
	w := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	rows(w)
	return w.Flush()
}

// kindName is the name of a kind, with shell completion.
type kindName string

// Complete implements flags.Completer.
func (kindName) Complete(match string) []flags.Completion {
	var out []flags.Completion
	for _, k := range api.Kinds {
		if strings.HasPrefix(strings.ToLower(string(k)), strings.ToLower(match)) {
			out = append(out, flags.Completion{Item: string(k)})
		}
	}
	return out
}

type getCommand struct {
	session *session
	Args    struct {
		Kind kindName `positional-arg-name:"KIND" required:"true"`
		Name string   `positional-arg-name:"NAME"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	path := "/v1/resources/" + string(c.Args.Kind)
	if c.Args.Name != "" {
		var r operatorapi.Resource
		printed, err := c.session.read(c.session.sling().Get(path+"/"+c.Args.Name), &r)
		if err != nil || printed {
			return err
		}
		return c.show(operatorapi.ResourceList{Revision: r.Revision, Items: []operatorapi.Resource{r}})
	}
	var list operatorapi.ResourceList
	printed, err := c.session.read(c.session.sling().Get(path), &list)
	if err != nil || printed {
		return err
	}
	return c.show(list)
}

func (c *getCommand) show(list operatorapi.ResourceList) error {
	return c.session.table(func(w io.Writer) {
		fmt.Fprintln(w, "KIND\tNAME\tREVISION\tIN FORCE\tUPSTREAMS\tQUEUED")
		for _, r := range list.Items {
			inForce := 0
			for _, i := range r.Status.Instances {
				if i.InForce {
					inForce++
				}
			}
			live := 0
			for _, u := range r.Status.Upstreams {
				if !u.Leaving {
					live++
				}
			}
			queued := 0
			for _, n := range r.Status.Queued {
				queued += n
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%d of %d\t%d\t%d\n", r.Kind, r.Metadata.Name, r.Revision, inForce, len(r.Status.Instances), live, queued)
		}
	})
}

type watchCommand struct {
	session *session
	After   int64 `long:"after" value-name:"REVISION" description:"Start after this revision; default: the current one"`
	Args    struct {
		Kind kindName `positional-arg-name:"KIND"`
	} `positional-args:"true"`
}

type watchQuery struct {
	Kind  string `url:"kind,omitempty"`
	After int64  `url:"after,omitempty"`
}

// Execute implements flags.Commander.
func (c *watchCommand) Execute([]string) error {
	response, err := c.session.call(c.session.sling().Get("/v1/watch").QueryStruct(watchQuery{Kind: string(c.Args.Kind), After: c.After}))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, config.MaxDocumentBytes)
	for lines.Scan() {
		if c.session.Output == "json" {
			fmt.Fprintln(c.session.out, lines.Text())
			continue
		}
		var e watch.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return fmt.Errorf("a change from the instance can't be decoded; use the same version of tacktally: %w", err)
		}
		fmt.Fprintf(c.session.out, "%d\t%s\t%s\t%s\n", e.Revision, e.Type, e.Kind, e.Name)
	}
	if c.session.ctx.Err() != nil {
		return nil
	}
	return errors.New("the instance ended the watch; watch another instance from the last revision seen")
}

type validateCommand struct {
	session *session
	Routed  bool `long:"routed" description:"The document is a configuration of routed requests, in the form in which it is published"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"true" description:"Document to check; - for standard input"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	content, err := readFile(c.Args.File)
	if err != nil {
		return err
	}
	if c.Routed {
		return c.routed(content)
	}
	var v operatorapi.Validation
	printed, err := c.session.read(c.session.sling().Post("/v1/validate").Body(bytes.NewReader(content)), &v)
	if err != nil {
		return err
	}
	if !printed {
		for _, f := range v.Faults {
			fmt.Fprintln(c.session.out, f.Error())
		}
	}
	if !v.Accepted {
		return errRejected
	}
	if !printed {
		fmt.Fprintln(c.session.out, "the document is accepted; publish it at the platform under a new revision")
	}
	return nil
}

// routed validates a configuration of routed requests as instances do.
func (c *validateCommand) routed(content []byte) error {
	document, err := c.session.platform.Decode(content)
	if err != nil {
		return fmt.Errorf("the configuration can't be decoded; publish one that decodes: %w", err)
	}
	table, err := routing.Build(document)
	if err != nil {
		return err
	}
	services := slices.Sorted(maps.Keys(table.Services()))
	if c.session.Output == "json" {
		return json.MarshalWrite(c.session.out, routedSummary{Version: table.Version, Routes: table.Routes(), Services: services})
	}
	fmt.Fprintf(c.session.out, "the configuration is accepted: version %d, %d routes to %s\n",
		table.Version, table.Routes(), strings.Join(services, ", "))
	return nil
}

// routedSummary is the JSON output of validate for a configuration of routed requests.
type routedSummary struct {
	Version  int64    `json:"version"`
	Routes   int      `json:"routes"`
	Services []string `json:"services"`
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("the document can't be read; name a readable file: %w", err)
	}
	return content, nil
}

type explainCommand struct {
	session      *session
	Organisation string `long:"organisation" required:"true" description:"Organisation that would send the request"`
	Tier         string `long:"tier" description:"Tier of the request; default: the organisation's default tier"`
	Model        string `long:"model" description:"Requested model"`
	Service      string `long:"service" description:"Called service, instead of a model"`
	Method       string `long:"method" default:"POST" description:"Method of the call to the service"`
	Path         string `long:"path" default:"/" description:"Path of the call to the service"`
}

type explainQuery struct {
	Organisation string `url:"organisation"`
	Tier         string `url:"tier,omitempty"`
	Model        string `url:"model,omitempty"`
	Service      string `url:"service,omitempty"`
	Method       string `url:"method,omitempty"`
	Path         string `url:"path,omitempty"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	q := explainQuery{Organisation: c.Organisation, Tier: c.Tier, Model: c.Model, Service: c.Service, Method: c.Method, Path: c.Path}
	var e operatorapi.Explanation
	printed, err := c.session.read(c.session.sling().Get("/v1/explain").QueryStruct(q), &e)
	if err != nil || printed {
		return err
	}
	return c.session.table(func(w io.Writer) {
		fmt.Fprintf(w, "revision\t%d\n", e.Revision)
		fmt.Fprintf(w, "tier\t%s (rank %d, timeout %s)\n", e.Tier, e.TierRank, e.Timeout)
		fmt.Fprintf(w, "set\t%s (%d upstreams in service)\n", e.Set, e.Upstreams)
		for _, step := range e.Steps {
			fmt.Fprintf(w, "then\t%s\n", step)
		}
	})
}

type statusCommand struct{ session *session }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	var st operatorapi.Status
	printed, err := c.session.read(c.session.sling().Get("/v1/status"), &st)
	if err != nil || printed {
		return err
	}
	return c.session.table(func(w io.Writer) {
		fmt.Fprintf(w, "instance\t%s in %s, version %s, up %s\n", st.Address, st.Zone, st.Version, time.Since(st.Started).Round(time.Second))
		fmt.Fprintf(w, "configuration\trevision %d since %s\n", st.Revision, st.Since.Format(time.RFC3339))
		if st.Rejected != nil {
			fmt.Fprintf(w, "rejected\trevision %d: %s\n", st.Rejected.Revision, st.Rejected.Error)
		}
		fmt.Fprintf(w, "requests\t%d in flight, draining %t\n", st.InFlight, st.Draining)
		fmt.Fprintf(w, "keys\t%d reserved, %d in use, %d bytes of responses stored\n", st.Keys.Reserved, st.Keys.Entries, st.Keys.AnswerBytes)
		for _, p := range st.Peers {
			revision := "unknown"
			if p.Report != nil {
				revision = strconv.FormatInt(p.Revision, 10)
			}
			fmt.Fprintf(w, "peer\t%s in %s, revision %s, reachable %t\n", p.Address, p.Zone, revision, p.Reachable)
		}
	})
}

type drainCommand struct{ session *session }

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	response, err := c.session.call(c.session.sling().Post("/v1/drain"))
	if err != nil {
		return err
	}
	response.Body.Close()
	fmt.Fprintln(c.session.out, "the instance refuses new requests and exits when those in progress are answered")
	return nil
}

type hashKeyCommand struct{ session *session }

// Execute implements flags.Commander.
func (c *hashKeyCommand) Execute([]string) error {
	content, err := io.ReadAll(io.LimitReader(os.Stdin, 1<<16))
	if err != nil {
		return err
	}
	key := strings.TrimSpace(string(content))
	if key == "" {
		return errors.New("no API key on standard input; pipe the key in")
	}
	fmt.Fprintln(c.session.out, config.HashAPIKey(key))
	return nil
}

type experimentCommand struct {
	session *session
	Policy  string   `long:"policy" description:"Run only this policy; default: all"`
	Seeds   []uint64 `long:"seed" default:"1" default:"2" default:"3" default:"4" default:"5" description:"Seed of a run; may be repeated"`
}

// Execute implements flags.Commander.
func (c *experimentCommand) Execute([]string) error {
	policies := slices.DeleteFunc(experiment.Policies(), func(p experiment.Policy) bool {
		return c.Policy != "" && p.Name != c.Policy
	})
	if len(policies) == 0 {
		return fmt.Errorf("no policy is named %q; omit --policy to run all", c.Policy)
	}
	rows := experiment.All(policies, c.Seeds)
	return experiment.Write(c.session.out, rows, c.Seeds)
}

type slopesCommand struct{ session *session }

// Execute implements flags.Commander.
func (c *slopesCommand) Execute([]string) error { return slopes.Write(c.session.out, slopes.All()) }

type demoCommand struct {
	session  *session
	Duration time.Duration `long:"duration" value-name:"TIME" description:"Stop after this time; default: at an interrupt"`
	Rate     float64       `long:"rate" default:"12" description:"Requests per second"`
	Routed   bool          `long:"routed" description:"Run an instance for routed requests, with upstreams in two availability zones, and send no traffic"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	if c.Routed {
		return c.session.platform.Demo(c.session.ctx, c.session.out)
	}
	return demo.Run(c.session.ctx, demo.Options{Out: c.session.out, Duration: c.Duration, Rate: c.Rate})
}
