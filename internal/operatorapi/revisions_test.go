package operatorapi

import (
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/peer"
)

// peeredInstance is an instance with a status.
type peeredInstance struct {
	Instance
	status Status
}

func (i peeredInstance) Status() Status { return i.status }

// Guards against a list of resources that breaks off while a peer is linked and hasn't reported since it started.
func TestPeersWithoutAReportHaveNoRevision(t *testing.T) {
	is := is.New(t)
	s := New(peeredInstance{status: Status{Address: "a", Revision: 4, Peers: []peer.Status{
		{Address: "b", Reachable: true, Report: &peer.Report{Revision: 3}},
		{Address: "c", Reachable: true},
	}}}, nil, nil, nil, "")
	is.Equal(s.revisions(4), []InstanceRevision{{Address: "a", Revision: 4, InForce: true}, {Address: "b", Revision: 3}})
}
