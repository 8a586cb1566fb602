package fair

// Virtual is an organisation's service received for its share; the organisation
// with the least is next.
func (q *Queue) Virtual(org string) float64 { return q.account(org).virtualTime() }
