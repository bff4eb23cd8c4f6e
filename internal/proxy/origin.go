package proxy

import "github.com/tacktally/tacktally/internal/scheduler"

// recordOrigin records the version of the upstream whose event was relayed as that which began the stream,
// unless another event came before.
func (j *job) recordOrigin() {
	if !j.origin.Restricted {
		j.origin = scheduler.VersionConstraint{Restricted: true, Version: j.sentVersion}
	}
}
