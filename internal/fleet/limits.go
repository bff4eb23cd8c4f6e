package fleet

import (
	"time"

	"github.com/tacktally/tacktally/internal/ratelimit"
)

// NoteLimit takes what an upstream of the list says, in the answer to an attempt that was sent at a time, of the
// requests a second that it takes. It returns whether that is news for peers.
func (f *Fleet) NoteLimit(id string, sent time.Time, w ratelimit.Word) bool {
	process := f.ProcessOf(id)
	return process != "" && f.limits.Answered(time.Now(), sent, process, w)
}

// Limit returns the requests a second that an upstream takes from all instances, as far as this one knows, and
// whether there is such a limit.
func (f *Fleet) Limit(id string) (perSecond float64, limited bool) {
	process := f.ProcessOf(id)
	if process == "" {
		return 0, false
	}
	return f.limits.Of(process)
}
