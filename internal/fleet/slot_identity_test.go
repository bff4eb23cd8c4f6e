package fleet

import (
	"io"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/prefix"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/queue"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/view"
)

// The owner of a shard refuses a request with a quarantined segment that the requester doesn't know of yet. It must
// know the request by the same key and segments.
func TestOwnerKnowsTheSegmentsOfASlotRequest(t *testing.T) {
	is := is.New(t)
	log := telemetry.NewLogger(io.Discard, "error", "test")
	f := New(Options{Instance: "10.0.0.0:1", Limits: queue.Limits{MaxItems: 9}, Quarantine: quarantine.New(log, nil), Metrics: telemetry.NewMetrics(), Log: log})
	f.ApplyListChange(view.ListChange{Version: 1, Changed: []view.Upstream{{ID: "u", Service: "s", Address: "127.0.0.1:1", Zone: "a", Slots: 1}}})
	req := generation()
	req.Request.Organisation = "crews"
	req.Segments = []prefix.Segment{{ID: 9, Hash: 1, Tokens: 60}, {ID: 1 << 63, Hash: 2, Tokens: 60}, {ID: 7, Hash: 3, Tokens: 9}}
	req.Identity = quarantine.RequestOf(quarantine.Key{Organisation: "crews", Digest: 5}, req.Segments)
	is.Equal(req.Identity.Segments, []uint64{9, 1 << 63})
	shard, _ := f.shardAndOwners(req)
	content, err := cbor.Marshal(f.slotRequest(time.Now(), shard, req))
	is.NoErr(err)
	var received peer.SlotRequest
	is.NoErr(cbor.Unmarshal(content, &received))
	is.Equal(identityOf(&received), req.Identity)
}
