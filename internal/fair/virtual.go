package fair

// VirtualTime returns the organisation's virtual time; the one with the least is
// served next.
func (q *Queue) VirtualTime(org string) float64 { return q.account(org).virtualTime() }
