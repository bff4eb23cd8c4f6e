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
	"github.com/tacktally/tacktally/internal/reach"
	"github.com/tacktally/tacktally/internal/request"
	"github.com/tacktally/tacktally/internal/view"
)

// Version is the version of the frames. A link carries frames of one version only.
const Version = 2

// MaxFrameBytes bounds a frame. It fits the largest request body and its other fields.
const MaxFrameBytes = 8 << 20

// Type is the type of a frame.
type Type uint8

// The frame types. Stream is 0 in frames that concern the link as a whole.
const (
	// TypeHello is the first frame in each direction.
	TypeHello Type = iota + 1
	// TypeHeartbeat carries a heartbeat: from the dialling side in a full mesh, from both sides in
	// a sparse one.
	TypeHeartbeat
	// TypeOpen sends a request on a new stream.
	TypeOpen
	// TypeHead, TypeData and TypeEnd are the response to it.
	TypeHead
	TypeData
	TypeEnd
	// TypeCredit allows the responding side to send that many more bytes.
	TypeCredit
	// TypeCancel ends a stream whose response or slot is no longer wanted.
	TypeCancel
	// TypeFetch requests the peer's state: its configuration and list.
	TypeFetch
	// TypeState is the reply to TypeFetch.
	TypeState
	// TypePressure announces that work of a rank is about to be shed for lack of capacity.
	// TypeRelieved replies that no lower-ranked work waits any more.
	TypePressure
	TypeRelieved
	// TypeSlotRequest requests a slot at an upstream. The reply is an optional TypeSlotQueued, then
	// TypeSlotGranted or TypeSlotRefused.
	TypeSlotRequest
	TypeSlotQueued
	TypeSlotGranted
	TypeSlotRefused
	// TypeSlotStarted reports the first token. TypeSlotReleased returns the slot, as TypeCancel
	// does. The first of the two carries the load report of the response, if it had one.
	TypeSlotStarted
	TypeSlotReleased
	// TypeQuotaRequest requests tokens of an organisation, TypeQuotaReply is the reply, and
	// TypeQuotaReturn returns unused tokens.
	TypeQuotaRequest
	TypeQuotaReply
	TypeQuotaReturn
	// TypeMembership carries membership updates in a sparse mesh.
	TypeMembership
	// TypeOrigins carries origins of streams. TypeOriginQuery asks for one, and TypeOriginReply replies.
	TypeOrigins
	TypeOriginQuery
	TypeOriginReply
	// TypeLeaseRequest requests leases of groups of buckets, and TypeLeaseReply is the reply.
	TypeLeaseRequest
	TypeLeaseReply
	typeLast
)

// Errors that close a link.
var (
	ErrMalformedFrame = errors.New("malformed frame; run the same version on all instances")
	ErrUnknownVersion = errors.New("frame of an unknown version; run the same version on all instances")
	ErrUnknownType    = errors.New("frame of an unknown type; run the same version on all instances")
)

// Frame is one message on a link. Type determines which of the other fields are set.
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

	Membership *membership.Update `cbor:"22,keyasint,omitempty"`

	Load *Load `cbor:"23,keyasint,omitempty"`

	Origins     []StreamOrigin `cbor:"24,keyasint,omitempty"`
	OriginQuery *OriginQuery   `cbor:"25,keyasint,omitempty"`
	OriginReply *OriginReply   `cbor:"26,keyasint,omitempty"`

	// LeaseGroups are the groups of buckets that a TypeLeaseRequest requests, or a TypeLeaseReply grants.
	LeaseGroups []int `cbor:"27,keyasint,omitempty"`
}

// Hello identifies the sender of a link's first frame.
type Hello struct {
	Address     string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	// Cores is the processor time that the instance has, in cores; 0 means unknown.
	Cores float64 `cbor:"4,keyasint,omitempty"`
	// KnownPeers is the number of peers that the sender knows. One that knows few is sent a
	// bootstrap update with others.
	KnownPeers int `cbor:"5,keyasint,omitempty"`
	// Age is the time since the sender started.
	Age time.Duration `cbor:"6,keyasint,omitempty"`
	// DialledAddress is the address under which the sender dialled the peer; empty in the reply of
	// the peer that was dialled.
	DialledAddress string `cbor:"7,keyasint,omitempty"`
	// KnowsOrigins reports that the sender knows the frames about origins of streams.
	KnowsOrigins bool `cbor:"8,keyasint,omitempty"`
	// KnowsLeases reports that the sender knows the frames about leases.
	KnowsLeases bool `cbor:"9,keyasint,omitempty"`
}

// Heartbeat is the state that an instance sends to its peers periodically and on changes.
type Heartbeat struct {
	// Revision is the highest accepted configuration revision.
	Revision int64 `cbor:"1,keyasint"`
	// ListVersion is the version of the list that the sender uses.
	ListVersion int64 `cbor:"2,keyasint"`
	// Draining reports that the sender accepts no new work.
	Draining bool `cbor:"3,keyasint,omitempty"`
	// Leaving are the upstreams that announced themselves that they leave, or their processes where
	// these are known.
	Leaving []string `cbor:"4,keyasint,omitempty"`
	// InFlight is the number of requests that the sender serves.
	InFlight int `cbor:"5,keyasint,omitempty"`
	// Queued is the number of waiting requests by engine set and rank.
	Queued map[string][]int `cbor:"6,keyasint,omitempty"`
	// Pending is the number of prompt tokens by upstream that were sent and aren't prefilled yet.
	Pending map[string]int `cbor:"7,keyasint,omitempty"`
	// Demand is the demand of organisations that have a limit, in tokens per second.
	Demand map[string]float64 `cbor:"8,keyasint,omitempty"`
	// Running is the number of requests by upstream that were sent and haven't ended.
	Running map[string]int `cbor:"9,keyasint,omitempty"`
	// KnownPeers is the number of peers that the sender knows.
	KnownPeers int `cbor:"10,keyasint,omitempty"`
	// ReadsSource reports whether the sender reads the source itself.
	ReadsSource bool `cbor:"12,keyasint,omitempty"`
	// Brief heartbeats leave out load and organisations.
	Brief bool `cbor:"13,keyasint,omitempty"`
	// SourceReachableMS is for how many milliseconds the sender, or a peer of it, has reached the
	// source without interruption; at most one minute.
	SourceReachableMS int `cbor:"14,keyasint,omitempty"`
	// Evacuations is the whole list, so that a change of it needs no fetch: it is short.
	Evacuations Evacuations `cbor:"15,keyasint,omitzero"`
	// Quarantine carries recent changes to the records of crashes and of the requests that cause
	// them.
	Quarantine *quarantine.Update `cbor:"16,keyasint,omitempty"`
	// ConfigVersion is the version that the configuration in force carries itself; 0 means not
	// reported.
	ConfigVersion int64 `cbor:"18,keyasint,omitempty"`
	// Limits are advertised limits of upstreams: recent changes, and some of the older ones
	// round-robin.
	Limits []ratelimit.Update `cbor:"17,keyasint,omitempty"`
	// Isolated reports that Reach is reach.Isolated, for peers of earlier versions, which know no Reach.
	Isolated bool `cbor:"19,keyasint,omitempty"`
	// Reach is whether the sender reaches upstreams over its own network path, so that it can relay
	// connections.
	Reach reach.State `cbor:"20,keyasint,omitempty"`
	// Sequence counts the heartbeats of one process, in the order of the states that they carry; 0 from peers of
	// earlier versions.
	Sequence uint64 `cbor:"21,keyasint,omitempty"`
	// FollowedS is for how many seconds the sender, or peers before it, have followed the list of upstreams and the
	// configuration; two hours at most.
	FollowedS int `cbor:"22,keyasint,omitempty"`
	// InformedS is for how many seconds the sender, or peers before it, have received what the instances tell each other
	// of requests and upstreams; two hours at most.
	InformedS int `cbor:"23,keyasint,omitempty"`
}

// reach returns whether the sender reaches upstreams, also if it is of an earlier version.
func (h *Heartbeat) reach() reach.State {
	if h.Isolated {
		return reach.Isolated
	}
	return h.Reach
}

// Evacuations lists the availability zones whose upstreams get no new requests.
type Evacuations struct {
	// Version is the revision of the source up to which Zones is complete; 0 if none is known.
	Version int64    `cbor:"1,keyasint,omitempty"`
	Zones   []string `cbor:"2,keyasint,omitempty"`
	// Retained are those of Zones that the source had before it was restored from a copy, with the time
	// for which they are still considered evacuated.
	Retained map[string]time.Duration `cbor:"3,keyasint,omitempty"`
}

// brief returns the heartbeat that peers of other availability zones get between two whole ones.
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
		Isolated:          h.Isolated,
		Reach:             h.Reach,
		Brief:             true,
		Sequence:          h.Sequence,
		FollowedS:         h.FollowedS,
		InformedS:         h.InformedS,
	}
}

// merged returns what counts of a heartbeat that others of its process have overtaken: what receivers merge with what
// they know, and none of the sender's state.
func (h *Heartbeat) merged() *Heartbeat {
	out := h.brief()
	out.SourceReachableMS = 0
	return out
}

// FetchRequest requests a peer's state. Its fields describe the state that the requester has.
type FetchRequest struct {
	// Parts are the parts of the configuration that the requester has, by their checksums.
	Parts []string `cbor:"1,keyasint,omitempty"`
	// Revision and ListVersion of the requester; content of the same version isn't sent again.
	Revision    int64 `cbor:"2,keyasint,omitempty"`
	ListVersion int64 `cbor:"3,keyasint,omitempty"`
	// AcceptsDelta reports that the requester accepts the changes to the list of upstreams since
	// ListVersion instead of the whole list.
	AcceptsDelta bool `cbor:"4,keyasint,omitempty"`
	// ListChecksums are the checksums of the chunks of the requester's list. They are set to get
	// the chunks that differ from the peer's.
	ListChecksums []uint64 `cbor:"5,keyasint,omitempty"`
	// AcceptsParts reports that the requester accepts the digest of a large configuration instead of
	// its content, and then requests the content in parts.
	AcceptsParts bool `cbor:"6,keyasint,omitempty"`
	// Part requests one part of the configuration instead of the state. An instance that sends no
	// parts ignores it.
	Part *PartRequest `cbor:"7,keyasint,omitempty"`
	// Quarantined requests all quarantine periods.
	Quarantined bool `cbor:"8,keyasint,omitempty"`
	// ListHistory requests the versions that were listed, and where routes led.
	ListHistory bool `cbor:"9,keyasint,omitempty"`
	// Informed is for how long the requester, or peers before it, have received what the instances tell each other: a peer
	// that has for longer sends all quarantine periods.
	Informed time.Duration `cbor:"10,keyasint,omitempty"`
}

// PartRequest requests one part of the configuration in force.
type PartRequest struct {
	// ID of the transfer.
	ID uint64 `cbor:"1,keyasint"`
	// Base is the digest of the configuration that the requester has; 0 is none.
	Base uint64 `cbor:"2,keyasint,omitempty"`
	// Digest of the configuration of which the requester has the first Offset bytes, as encoded.
	Digest uint64 `cbor:"3,keyasint,omitempty"`
	Offset int    `cbor:"4,keyasint,omitempty"`
}

// Part is a part of an encoded configuration; see package transfer.
type Part struct {
	// Busy reports that the sender serves other receivers; the other fields are then not set.
	Busy bool `cbor:"1,keyasint,omitempty"`
	// Digest of the configuration once it is decoded.
	Digest uint64 `cbor:"2,keyasint,omitempty"`
	// Base is the digest of the configuration to which it is the difference; 0 is none.
	Base uint64 `cbor:"3,keyasint,omitempty"`
	// Size is that of the encoded configuration, and Offset the position of Data in it, in bytes.
	Size   int    `cbor:"4,keyasint,omitempty"`
	Offset int    `cbor:"5,keyasint,omitempty"`
	Data   []byte `cbor:"6,keyasint,omitempty"`
}

// State is what an instance sends to a peer that fetches its state.
type State struct {
	// Revision and Content of the configuration; Revision is 0 if the sender has none.
	Revision int64  `cbor:"1,keyasint"`
	Content  []byte `cbor:"2,keyasint,omitempty"`
	// Age of the configuration: the time since the read that confirmed it was sent to the source.
	Age time.Duration `cbor:"6,keyasint,omitempty"`
	// Parts of the configuration that the requester lacks, by their checksums.
	Parts map[string][]byte `cbor:"5,keyasint,omitempty"`
	// ListVersion and List: the list of instances as JSON, or of upstreams as CBOR where only those
	// are published; ListVersion is 0 if the sender has none. A requester that has this version of
	// the upstreams gets no List.
	ListVersion int64  `cbor:"3,keyasint"`
	List        []byte `cbor:"4,keyasint,omitempty"`
	// ListAge is the time since the last read was sent to the source that confirmed the list of
	// upstreams.
	ListAge time.Duration `cbor:"7,keyasint,omitempty"`
	// Missing are the upstreams of List that lapsed around an outage of the source, with the time
	// within which they may still come back.
	Missing map[string]time.Duration `cbor:"8,keyasint,omitempty"`
	// Evacuations are at least as recent as the configuration's Age says.
	Evacuations Evacuations `cbor:"9,keyasint,omitzero"`
	// ListSince is the version since which List and Removed are the changes to the list of
	// upstreams; 0 if List is the whole list, or all of ListChunks.
	ListSince  int64 `cbor:"10,keyasint,omitempty"`
	ListChunks []int `cbor:"11,keyasint,omitempty"`
	// Removed are the IDs of upstreams that have left the list since ListSince.
	Removed []string `cbor:"12,keyasint,omitempty"`
	// Leaving are the processes of upstreams that announced themselves that they leave.
	Leaving []string `cbor:"14,keyasint,omitempty"`
	// Limits are the advertised limits of upstreams.
	Limits []ratelimit.Update `cbor:"15,keyasint,omitempty"`
	// ListDigest is the digest of the whole list of upstreams of ListVersion; 0 means not reported.
	ListDigest uint64 `cbor:"13,keyasint,omitempty"`
	// ContentDigest is the digest of a Content that is left out; 0 if none is.
	ContentDigest uint64 `cbor:"16,keyasint,omitempty"`
	// Part is set in the reply to a request for a part, beside Revision and Age.
	Part *Part `cbor:"17,keyasint,omitempty"`
	// Quarantined are all quarantine periods, if the requester asked for them or may lack some. Informed is then for how long
	// the sender, or peers before it, have received them, leaving notices and limits.
	Quarantined []quarantine.QuarantineRecord `cbor:"18,keyasint,omitempty"`
	Informed    time.Duration                 `cbor:"21,keyasint,omitempty"`
	// ListHistory is set if the requester asked for it and the sender's list is current.
	ListHistory *ListHistory `cbor:"19,keyasint,omitempty"`
	// RouteHistory is set if the requester asked for a ListHistory.
	RouteHistory *view.RouteHistory `cbor:"20,keyasint,omitempty"`
}

// Pressure announces that work of Rank is about to be shed for lack of capacity in Set.
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
		// Headers of callers and upstreams may have any bytes beyond ASCII.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic("peer: " + err.Error())
	}
	return m
}

// Encode encodes a frame and sets its Version to the current one.
func Encode(f *Frame) ([]byte, error) {
	f.Version = Version
	b, err := encoder.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("peer: encode frame of type %d: %w", f.Type, err)
	}
	return b, nil
}

// Decode decodes a frame and checks that it has the fields that its type requires.
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
		complete, onStream = f.Heartbeat != nil && (f.Heartbeat.Quarantine == nil || f.Heartbeat.Quarantine.IsValid()), false
	case TypeQuotaRequest:
		complete = f.QuotaRequest != nil && f.QuotaRequest.isValid()
	case TypeQuotaReply:
		complete = f.QuotaReply != nil
	case TypeQuotaReturn:
		complete, onStream = f.QuotaReturn != nil && f.QuotaReturn.Tokens >= 0, false
	case TypeMembership:
		complete, onStream = f.Membership != nil, false
	case TypeOrigins:
		complete, onStream = areValidOrigins(f.Origins), false
	case TypeOriginQuery:
		complete = f.OriginQuery != nil && f.OriginQuery.Service != "" && f.OriginQuery.Lifetime >= 0
	case TypeOriginReply:
		complete = f.OriginReply != nil
	case TypeLeaseRequest, TypeLeaseReply:
		complete = len(f.LeaseGroups) <= maxLeaseGroups
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
		complete = f.State != nil && (f.State.Part == nil || f.State.Part.isValid()) && quarantine.AreValid(f.State.Quarantined) && f.State.Informed >= 0 && f.State.ListHistory.isValid() && f.State.RouteHistory.IsValid()
	case TypeFetch:
		complete = f.Fetch != nil && (f.Fetch.Part == nil || f.Fetch.Part.Offset >= 0)
	case TypeSlotRequest:
		complete = f.SlotRequest != nil && f.SlotRequest.isValid()
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
		return fmt.Errorf("%w: type %d lacks a required field or has an invalid one", ErrMalformedFrame, f.Type)
	}
	return nil
}

func (p *Part) isValid() bool {
	return p.Busy || (p.Digest != 0 && len(p.Data) > 0 && p.Offset >= 0 && p.Offset <= p.Size-len(p.Data) && p.Size <= MaxFrameBytes)
}

func (r *SlotRequest) isValid() bool {
	return r.Service != "" && r.Shard >= 0 && r.Rank >= 0 && r.Age >= 0 && r.Age < maxRemaining &&
		r.Timeout < maxRemaining && r.PromptTokens >= 0 && r.MaxOutput >= 0 && r.ExpectedOutput >= 0 && r.Bytes >= 0
}

// maxRemaining bounds the time left, and the age, that a request may state.
const maxRemaining = 2 * time.Hour
