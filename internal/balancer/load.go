package balancer

import (
	"time"

	"github.com/tacktally/tacktally/internal/loadreport"
)

// ObserveLoad records a valid load report of the upstream.
func (u *Upstream) ObserveLoad(time.Time, loadreport.Report) {}
