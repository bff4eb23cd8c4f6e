package operatorapi

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// drainedInstance calls a function when it is drained.
type drainedInstance struct {
	Instance
	onDrain func()
}

func (i drainedInstance) Drain() { i.onDrain() }

// Guards against a drain whose operator is told that no instance answers: an idle one closes its connections at once.
func TestDrainIsAnsweredBeforeItBegins(t *testing.T) {
	is := is.New(t)
	response := httptest.NewRecorder()
	drained := false
	s := New(drainedInstance{onDrain: func() {
		drained = true
		is.True(response.Flushed)
		is.Equal(response.Code, http.StatusAccepted)
		is.Equal(response.Header().Get("Content-Length"), "0") // complete
	}}, nil, nil, nil, "")
	s.ServeHTTP(response, httptest.NewRequest(http.MethodPost, "/v1/drain", nil))
	is.True(drained)
}
