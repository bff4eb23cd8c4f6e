// Package platform reads what the platform publishes: the configuration document and the instance
// list. It never writes.
//
// Protocol of the platform's service, as implemented by the fake in internal/standin/platform:
//
//	GET /v1/config/KEY                      returns the current value
//	GET /v1/config/KEY?after=REV&wait=SECS  returns the value once its revision differs from REV, or 304
//	GET /v1/instances[?after=VERSION&wait=SECS]  the same for the instance list
//
// The header Revision carries the revision of the value.
package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/dghubble/sling"
	"github.com/go-json-experiment/json"

	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/keepalive"
	"github.com/tacktally/tacktally/internal/wait"
)

// HeaderRevision carries the revision of a value.
const HeaderRevision = "Revision"

const (
	maxValueBytes = 1 << 20
	// watchTimeoutMargin is the time that a watch may take in addition to its waiting time. It is
	// the only way in which a connection that went silent without a reset is detected.
	watchTimeoutMargin = time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// firstBackoff and maxBackoff bound the retry delay after a failed call.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
)

// State is the state of an instance in the list.
type State string

// The states.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is an entry of the platform's list: an instance of tacktallyd or an upstream.
type Instance struct {
	// Address is an IP:port: the peer address of an instance of tacktallyd, or the address at which
	// an upstream serves.
	Address string `json:"address"`
	// Zone is its availability zone.
	Zone string `json:"zone"`
	// Set is the engine set or service that an upstream belongs to; empty for an instance of
	// tacktallyd.
	Set string `json:"set,omitzero"`
	// State is live or leaving.
	State State `json:"state"`
}

// List is the instance list with its version.
type List struct {
	Version   int64
	Instances []Instance
	// Invalid describes the entries that were left out; nil if there were none.
	Invalid error
}

// UpstreamStates returns the states of the upstreams in a list, by address.
func UpstreamStates(list []Instance) map[string]State {
	out := make(map[string]State, len(list))
	for _, i := range list {
		if i.Set != "" {
			out[i.Address] = i.State
		}
	}
	return out
}

// Entered returns the addresses of the upstreams that are live in a list and weren't in the one before: another process may
// serve there. Before is nil for the first list, for which there are none.
func Entered(before, list map[string]State) map[string]bool {
	out := map[string]bool{}
	for address, state := range list {
		if before != nil && state == Live && before[address] != Live {
			out[address] = true
		}
	}
	return out
}

// ErrUnavailable: the platform's service didn't respond as expected.
var ErrUnavailable = errors.New("the platform's service is unavailable; serving continues with the known state")

// Client reads from the platform's service. It is safe for concurrent use.
type Client struct {
	http *http.Client
	base string
	wait time.Duration
}

// NewClient returns a client. Wait is the time for which one watch call waits for a change.
func NewClient(base string, wait time.Duration) *Client {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepalive.Config(), Control: keepalive.Control}).DialContext,
		MaxIdleConnsPerHost:    4,
		MaxResponseHeaderBytes: exchange.MaxHeadBytes,
	}
	return &Client{base: base, wait: wait, http: &http.Client{Timeout: wait + watchTimeoutMargin, Transport: exchange.Strict(transport)}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// params are the query parameters of a watch.
type params struct {
	After int64 `url:"after,omitempty"`
	Wait  int64 `url:"wait,omitempty"`
}

// get reads a value. If wait is positive, it blocks until the revision of the value differs from
// after or wait has passed; in the latter case, content is nil.
func (c *Client) get(ctx context.Context, path string, after int64, wait time.Duration) (revision int64, content []byte, err error) {
	s := sling.New().Base(c.base).Get(path)
	if wait > 0 {
		s = s.QueryStruct(params{After: after, Wait: int64(wait / time.Second)})
	}
	h, err := s.Request()
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	response, err := c.http.Do(h.WithContext(ctx))
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		return after, nil, nil
	}
	if response.StatusCode != http.StatusOK {
		return 0, nil, fmt.Errorf("%w: status %s for %s", ErrUnavailable, response.Status, path)
	}
	revision, err = strconv.ParseInt(response.Header.Get(HeaderRevision), 10, 64)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: no revision for %s", ErrUnavailable, path)
	}
	content, err = io.ReadAll(io.LimitReader(response.Body, maxValueBytes+1))
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return revision, content, nil
}

// Instances reads the current instance list.
func (c *Client) Instances(ctx context.Context) (List, error) {
	revision, content, err := c.get(ctx, "/v1/instances", 0, 0)
	if err != nil {
		return List{}, err
	}
	return decodeList(revision, content)
}

// Config reads the current value of key.
func (c *Client) Config(ctx context.Context, key string) (revision int64, content []byte, err error) {
	return c.get(ctx, "/v1/config/"+key, 0, 0)
}

// decodeList decodes a list. Entries that are invalid are left out, so that they cost no other entry.
func decodeList(version int64, content []byte) (List, error) {
	l := List{Version: version}
	entries, ok := splitArray(content)
	if !ok {
		return l, fmt.Errorf("%w: the instance list is not a JSON array", ErrUnavailable)
	}
	invalid := 0
	for n, content := range entries {
		i, err := decodeInstance(content)
		if err == nil {
			l.Instances = append(l.Instances, i)
			continue
		}
		if invalid++; l.Invalid == nil {
			l.Invalid = fmt.Errorf("entry %d of the instance list: %w", n, err)
		}
	}
	if invalid > 1 {
		l.Invalid = fmt.Errorf("%d invalid entries; the first is %w", invalid, l.Invalid)
	}
	return l, nil
}

func decodeInstance(content []byte) (Instance, error) {
	var i Instance
	if err := json.Unmarshal(content, &i); err != nil {
		return Instance{}, err
	}
	address, err := netip.ParseAddrPort(i.Address)
	switch {
	case err != nil:
		return Instance{}, fmt.Errorf("address is not IP:port: %w", err)
	case address.Port() == 0:
		return Instance{}, errors.New("address has port 0")
	}
	return i, nil
}

// splitArray returns the elements of a JSON array, none for null. Elements may be invalid themselves: a decoder would
// refuse the array as a whole for one that is nested too deeply.
func splitArray(content []byte) (elements [][]byte, ok bool) {
	content = bytes.TrimSpace(content)
	if string(content) == "null" {
		return nil, true
	}
	if len(content) < 2 || content[0] != '[' || content[len(content)-1] != ']' {
		return nil, false
	}
	content = content[1 : len(content)-1]
	start, depth, quoted := 0, 0, false
	for n := 0; n < len(content); n++ {
		switch c := content[n]; {
		case quoted && c == '\\':
			n++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{' || c == '[':
			depth++
		case c == '}' || c == ']':
			depth--
		case c == ',' && depth == 0:
			elements = append(elements, content[start:n])
			start = n + 1
		}
	}
	if len(elements) > 0 || len(bytes.TrimSpace(content)) > 0 {
		elements = append(elements, content[start:])
	}
	return elements, depth == 0 && !quoted
}

// WatchConfig calls f with the value of key, at once and after each change, until ctx is done. It
// blocks until then. Errors are passed to onError, and the watch continues.
func (c *Client) WatchConfig(ctx context.Context, key string, f func(revision int64, content []byte), onError func(error)) {
	c.watch(ctx, "/v1/config/"+key, f, onError)
}

// WatchInstances calls f with the instance list, at once and after each change, until ctx is done.
// It blocks until then. Errors are passed to onError, and the watch continues.
func (c *Client) WatchInstances(ctx context.Context, f func(List), onError func(error)) {
	c.watch(ctx, "/v1/instances", func(version int64, content []byte) {
		l, err := decodeList(version, content)
		if err != nil {
			onError(err)
			return
		}
		f(l)
	}, onError)
}

func (c *Client) watch(ctx context.Context, path string, f func(int64, []byte), onError func(error)) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstBackoff
	retry.MaxInterval = maxBackoff
	var after int64
	longPoll := time.Duration(0) // the first call returns at once
	for ctx.Err() == nil {
		revision, content, err := c.get(ctx, path, after, longPoll)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			onError(err)
			if !wait.For(ctx, retry.NextBackOff()) {
				return
			}
			continue
		}
		retry.Reset()
		longPoll = c.wait
		if content != nil {
			after = revision
			f(revision, content)
		}
	}
}
