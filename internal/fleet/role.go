package fleet

// role is what an instance is to a shard or a group of buckets, by its own view of the fleet. Requesters pass over
// an owner that is silent to them, each on its own, so several instances may be asked for the same thing at once.
// How much each of them may grant follows from its role, not from who asks: the parts of one owner, one standby and
// all others add up to no more than the bound, however long replies take.
type role uint8

const (
	// roleOther is an instance that is neither the owner nor the standby.
	roleOther role = iota
	// roleStandby is the second in the ranking, which requesters ask while the owner is silent.
	roleStandby
	// roleOwner is the first in the ranking.
	roleOwner
)

// roleAt returns the role of the instance at a position of the ranking; -1 if it isn't ranked.
func roleAt(position int) role {
	switch position {
	case 0:
		return roleOwner
	case 1:
		return roleStandby
	default:
		return roleOther
	}
}

// String returns the value of the label "role" in metrics.
func (r role) String() string {
	switch r {
	case roleOwner:
		return "owner"
	case roleStandby:
		return "standby"
	default:
		return "other"
	}
}
