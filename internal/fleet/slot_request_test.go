package fleet

import (
	"testing"
	"time"
	"unicode/utf8"

	"github.com/matryer/is"
)

// Guards against a caller whose request ID ends links to peers of earlier versions, which refuse frames with other text.
func TestSlotRequestHasAValidID(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.0:1", instances(3))
	request := generation()
	request.ID = "1\xff2"
	shard, _ := f.shardAndOwners(request)
	sent := f.slotRequest(time.Now(), shard, request).ID
	is.True(utf8.ValidString(sent))
	is.Equal(sent, "1\ufffd2")
}
