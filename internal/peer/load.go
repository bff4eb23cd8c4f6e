package peer

import "github.com/tacktally/tacktally/internal/loadreport"

// Load is the load report in a frame. The receiver checks whether it is valid.
type Load loadreport.Report

// undecodable is the invalid report that stands for one that can't be decoded.
var undecodable = Load{Running: -1}

// UnmarshalCBOR implements cbor.Unmarshaler. It returns no error: a report only improves decisions,
// so one that can't be decoded must not close the link, which would release all slots granted on it.
func (l *Load) UnmarshalCBOR(b []byte) error {
	var r loadreport.Report
	if err := decoder.Unmarshal(b, &r); err != nil {
		*l = undecodable
		return nil
	}
	*l = Load(r)
	return nil
}

// loadOf returns the field Load of a frame; nil if there is no report.
func loadOf(r loadreport.Report) *Load {
	if !r.IsSet() {
		return nil
	}
	l := Load(r)
	return &l
}

// report returns the load report of a frame, the zero value if it has none.
func (l *Load) report() loadreport.Report {
	if l == nil {
		return loadreport.Report{}
	}
	return loadreport.Report(*l)
}
