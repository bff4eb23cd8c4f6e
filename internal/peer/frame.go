// Package peer links the instances of the system with each other.
//
// Where all are linked to all, each instance dials every other one it knows, and sends its
// requests and heartbeats on the link it dialled; the other side answers on that link. Where
// links are few (Options.Sparse), package membership says with whom they are kept, one link
// serves a pair in both directions, and more are made on use. A link is a WebSocket connection with one CBOR frame a message. Requests share it by
// stream number, with flow control for each stream. A frame that is malformed,
// too large or of an unknown version closes the link with a typed error; the
// requests on it are sent again on a new link, which is safe because the issuer
// of a key recognises repeats.
package peer

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/membership"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/ratelimit"
	"github.com/tacktally/tacktally/internal/request"
)

// Version of the frames. A link carries frames of one version only.
const Version = 2

// MaxFrameBytes bounds a frame: the largest request body and its terms.
const MaxFrameBytes = 8 << 20

// Type of a frame.
type Type uint8

// The types. Stream is 0 for those that concern the link as a whole.
const (
	// TypeHello is the first frame in each direction.
	TypeHello Type = iota + 1
	// TypeHeartbeat is sent by the dialling side.
	TypeHeartbeat
	// TypeOpen sends a request on a new stream.
	TypeOpen
	// TypeHead, TypeData and TypeEnd are the answer to it.
	TypeHead
	TypeData
	TypeEnd
	// TypeCredit lets the answering side send so many more bytes.
	TypeCredit
	// TypeCancel says that the answer is no longer wanted.
	TypeCancel
	// TypeFetch asks for the configuration and the instance list.
	TypeFetch
	// TypeState answers it.
	TypeState
	// TypePressure says that work of a rank is about to be shed for lack of
	// capacity; TypeRelieved answers that no lower work waits any more.
	TypePressure
	TypeRelieved
	// TypeSlotRequest asks for a slot at an upstream. It is answered by
	// TypeSlotQueued, which may be left out, and TypeSlotGranted or TypeSlotRefused.
	TypeSlotRequest
	TypeSlotQueued
	TypeSlotGranted
	TypeSlotRefused
	// TypeSlotStarted says that the first token has come; TypeSlotReleased gives the
	// slot back, as TypeCancel does.
	TypeSlotStarted
	TypeSlotReleased
	// TypeQuotaRequest asks for tokens of an organisation, TypeQuotaReply answers it, and
	// TypeQuotaReturn gives tokens back.
	TypeQuotaRequest
	TypeQuotaReply
	TypeQuotaReturn
	// TypeMembership tells which instances there are, where links are few.
	TypeMembership
	typeLast
)

// Errors that close a link.
var (
	ErrMalformedFrame = errors.New("malformed frame; run the same version on all instances")
	ErrUnknownVersion = errors.New("frame of an unknown version; run the same version on all instances")
	ErrUnknownType    = errors.New("frame of an unknown type; run the same version on all instances")
)

// Frame is one message on a link. Type tells which of the fields are set.
type Frame struct {
	Version   uint8            `cbor:"1,keyasint"`
	Type      Type             `cbor:"2,keyasint"`
	Stream    uint64           `cbor:"3,keyasint,omitempty"`
	Hello     *Hello           `cbor:"4,keyasint,omitempty"`
	Heartbeat *Heartbeat       `cbor:"5,keyasint,omitempty"`
	Request   *request.Request `cbor:"6,keyasint,omitempty"`
	Head      *answer.Head     `cbor:"7,keyasint,omitempty"`
	Data      []byte           `cbor:"8,keyasint,omitempty"`
	End       *answer.End      `cbor:"9,keyasint,omitempty"`
	Credit    int              `cbor:"10,keyasint,omitempty"`
	State     *State           `cbor:"11,keyasint,omitempty"`
	Pressure  *Pressure        `cbor:"12,keyasint,omitempty"`
	Fetch     *FetchRequest    `cbor:"13,keyasint,omitempty"`

	SlotRequest *SlotRequest `cbor:"14,keyasint,omitempty"`
	SlotGrant   *SlotGrant   `cbor:"15,keyasint,omitempty"`
	SlotRefusal *SlotRefusal `cbor:"16,keyasint,omitempty"`
	SlotRelease *SlotRelease `cbor:"17,keyasint,omitempty"`

	QuotaRequest *QuotaRequest `cbor:"19,keyasint,omitempty"`
	QuotaReply   *QuotaReply   `cbor:"20,keyasint,omitempty"`
	QuotaReturn  *QuotaReturn  `cbor:"21,keyasint,omitempty"`

	Membership *membership.Telling `cbor:"22,keyasint,omitempty"`
}

// Hello names the sender.
type Hello struct {
	Address     string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	// Cores is the processor time that the instance has, in cores; 0 is unknown.
	Cores float64 `cbor:"4,keyasint,omitempty"`
	// KnownPeers is the number of peers that it knows. One that knows few is told of others.
	KnownPeers int `cbor:"5,keyasint,omitempty"`
	// Age is the time since it started.
	Age time.Duration `cbor:"6,keyasint,omitempty"`
	// DialledAddress is the address under which the peer was dialled; empty from the side that
	// was.
	DialledAddress string `cbor:"7,keyasint,omitempty"`
}

// Heartbeat tells the peers what they need to know of an instance.
type Heartbeat struct {
	// Revision is the highest accepted configuration revision.
	Revision int64 `cbor:"1,keyasint"`
	// ListVersion is the version of the instance list it uses.
	ListVersion int64 `cbor:"2,keyasint"`
	// Draining instances take no new work.
	Draining bool `cbor:"3,keyasint,omitempty"`
	// Leaving upstreams, by their own word; where they are named so, their processes.
	Leaving []string `cbor:"4,keyasint,omitempty"`
	// InFlight is the number of requests it serves.
	InFlight int `cbor:"5,keyasint,omitempty"`
	// Queued work by set and rank.
	Queued map[string][]int `cbor:"6,keyasint,omitempty"`
	// Pending prompt tokens by upstream: sent and not read yet.
	Pending map[string]int `cbor:"7,keyasint,omitempty"`
	// Demand of organisations with a limit, in tokens a second.
	Demand map[string]float64 `cbor:"8,keyasint,omitempty"`
	// Running requests by upstream: sent and not ended.
	Running map[string]int `cbor:"9,keyasint,omitempty"`
	// KnownPeers is the number of peers that the sender knows.
	KnownPeers int `cbor:"10,keyasint,omitempty"`
	// ReadsSource tells that the sender reads the source itself.
	ReadsSource bool `cbor:"12,keyasint,omitempty"`
	// Brief heartbeats leave out what is told of load and organisations.
	Brief bool `cbor:"13,keyasint,omitempty"`
	// SourceReachableMS is for how many milliseconds the sender, or a peer of it, has reached the
	// source all the time; a minute at most.
	SourceReachableMS int `cbor:"14,keyasint,omitempty"`
	// Evacuations are in whole, so that news of them needs no fetch: they are few and short.
	Evacuations Evacuations `cbor:"15,keyasint,omitzero"`
	// Quarantine is what is new of crashes and the requests that cause them.
	Quarantine *quarantine.News `cbor:"16,keyasint,omitempty"`
	// ConfigVersion is the own version of the configuration in force, 0 where it isn't told.
	ConfigVersion int64 `cbor:"18,keyasint,omitempty"`
	// Limits that upstreams have named: what is new of them, and some of the rest in turn.
	Limits []ratelimit.Update `cbor:"17,keyasint,omitempty"`
}

// Evacuations are the availability zones whose upstreams are to get nothing new.
type Evacuations struct {
	// Version is the revision of the source up to which Zones is complete; 0 where nothing is
	// known.
	Version int64    `cbor:"1,keyasint,omitempty"`
	Zones   []string `cbor:"2,keyasint,omitempty"`
	// Held are those of Zones that the source had before it came back from a copy, with the time for which they are
	// still believed to be evacuated.
	Held map[string]time.Duration `cbor:"3,keyasint,omitempty"`
}

// brief returns what peers of other availability zones are told between two whole
// heartbeats.
func (h *Heartbeat) brief() *Heartbeat {
	return &Heartbeat{
		Revision:          h.Revision,
		ConfigVersion:     h.ConfigVersion,
		ListVersion:       h.ListVersion,
		Draining:          h.Draining,
		InFlight:          h.InFlight,
		KnownPeers:        h.KnownPeers,
		ReadsSource:       h.ReadsSource,
		SourceReachableMS: h.SourceReachableMS,
		Evacuations:       h.Evacuations,
		Quarantine:        h.Quarantine,
		Leaving:           h.Leaving,
		Limits:            h.Limits,
		Brief:             true,
	}
}

// FetchRequest asks for the state.
type FetchRequest struct {
	// Parts of the configuration that the asking instance has, by their sums.
	Parts []string `cbor:"1,keyasint,omitempty"`
	// Revision and ListVersion that it has; they needn't be handed over again.
	Revision    int64 `cbor:"2,keyasint,omitempty"`
	ListVersion int64 `cbor:"3,keyasint,omitempty"`
	// AcceptsDelta tells that it takes what has changed of the list of upstreams since that version.
	AcceptsDelta bool `cbor:"4,keyasint,omitempty"`
	// ListChecksums of the parts of its list, to get those that differ from the peer's.
	ListChecksums []uint64 `cbor:"5,keyasint,omitempty"`
}

// State is what one instance hands over to another.
type State struct {
	// Revision and Content of the configuration; Revision 0 when it has none.
	Revision int64  `cbor:"1,keyasint"`
	Content  []byte `cbor:"2,keyasint,omitempty"`
	// Age of the configuration: the time since the read that proved it was sent.
	Age time.Duration `cbor:"6,keyasint,omitempty"`
	// Parts that the asking instance lacks, by their sums.
	Parts map[string][]byte `cbor:"5,keyasint,omitempty"`
	// ListVersion and List of instances, as JSON, or of upstreams, as CBOR, where
	// those alone are published; ListVersion 0 when it has none. An asking instance that
	// has that version of upstreams gets no list.
	ListVersion int64  `cbor:"3,keyasint"`
	List        []byte `cbor:"4,keyasint,omitempty"`
	// ListAge is the time since the read was sent that showed the list of upstreams to be
	// current last.
	ListAge time.Duration `cbor:"7,keyasint,omitempty"`
	// Missing are the upstreams of List that lapsed around an outage of the source, with the
	// time in which they may still come back.
	Missing map[string]time.Duration `cbor:"8,keyasint,omitempty"`
	// Evacuations are known at least as of the configuration's age.
	Evacuations Evacuations `cbor:"9,keyasint,omitzero"`
	// ListSince is the version since which List and Vanished are what has changed of the list of
	// upstreams; 0 where List is the whole of it, or of ListParts.
	ListSince  int64 `cbor:"10,keyasint,omitempty"`
	ListChunks []int `cbor:"11,keyasint,omitempty"`
	// Removed are the IDs of upstreams that have left the list since.
	Removed []string `cbor:"12,keyasint,omitempty"`
	// Leaving are the processes of upstreams that have said themselves that they leave.
	Leaving []string `cbor:"14,keyasint,omitempty"`
	// Limits that upstreams have named.
	Limits []ratelimit.Update `cbor:"15,keyasint,omitempty"`
	// ListDigest is of the whole list of upstreams of that version; 0 where it isn't told.
	ListDigest uint64 `cbor:"13,keyasint,omitempty"`
}

// Pressure says that work of Rank is about to be shed for lack of capacity in Set.
type Pressure struct {
	Set  string `cbor:"1,keyasint"`
	Rank int    `cbor:"2,keyasint"`
}

var (
	encoder = mustEncMode()
	decoder = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic("peer: " + err.Error())
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      1 << 16,
	}.DecMode()
	if err != nil {
		panic("peer: " + err.Error())
	}
	return m
}

// Encode encodes a frame under the current version.
func Encode(f *Frame) ([]byte, error) {
	f.Version = Version
	b, err := encoder.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("peer: frame of type %d doesn't encode: %w", f.Type, err)
	}
	return b, nil
}

// Decode decodes a frame and checks that it carries what its type needs.
func Decode(b []byte) (*Frame, error) {
	var f Frame
	if err := decoder.Unmarshal(b, &f); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedFrame, err)
	}
	if f.Version != Version {
		return nil, fmt.Errorf("%w: %d", ErrUnknownVersion, f.Version)
	}
	return &f, f.check()
}

func (f *Frame) check() error {
	complete := true
	onStream := true
	switch f.Type {
	case TypeHello:
		complete, onStream = f.Hello != nil, false
	case TypeHeartbeat:
		complete, onStream = f.Heartbeat != nil && (f.Heartbeat.Quarantine == nil || f.Heartbeat.Quarantine.IsSane()), false
	case TypeQuotaRequest:
		complete = f.QuotaRequest != nil && f.QuotaRequest.isSane()
	case TypeQuotaReply:
		complete = f.QuotaReply != nil
	case TypeQuotaReturn:
		complete, onStream = f.QuotaReturn != nil && f.QuotaReturn.Tokens >= 0, false
	case TypeMembership:
		complete, onStream = f.Membership != nil, false
	case TypePressure:
		complete = f.Pressure != nil
	case TypeOpen:
		complete = f.Request != nil && f.Request.Timeout < maxRemaining && f.Request.Age >= 0 && f.Request.Age < maxRemaining
	case TypeHead:
		complete = f.Head != nil && f.Head.Status >= 200 && f.Head.Status <= 599
	case TypeData:
		complete = len(f.Data) > 0
	case TypeEnd:
		complete = f.End != nil
	case TypeCredit:
		complete = f.Credit > 0
	case TypeState:
		complete = f.State != nil
	case TypeFetch:
		complete = f.Fetch != nil
	case TypeSlotRequest:
		complete = f.SlotRequest != nil && f.SlotRequest.isSane()
	case TypeSlotGranted:
		complete = f.SlotGrant != nil
	case TypeSlotRefused:
		complete = f.SlotRefusal != nil
	case TypeSlotReleased:
		complete = f.SlotRelease != nil
	case TypeCancel, TypeRelieved, TypeSlotQueued, TypeSlotStarted:
	default:
		return fmt.Errorf("%w: %d", ErrUnknownType, f.Type)
	}
	if !complete || (onStream && f.Stream == 0) {
		return fmt.Errorf("%w: type %d lacks what it needs", ErrMalformedFrame, f.Type)
	}
	return nil
}

func (r *SlotRequest) isSane() bool {
	return r.Service != "" && r.Shard >= 0 && r.Rank >= 0 && r.Age >= 0 && r.Age < maxRemaining &&
		r.Timeout < maxRemaining && r.PromptTokens >= 0 && r.MaxOutput >= 0 && r.ExpectedOutput >= 0 && r.Bytes >= 0
}

// maxRemaining bounds the time left that a request may name.
const maxRemaining = 2 * time.Hour
