package hold

// FreeReason is the evidence that the previous owner of a range holds it no longer.
type FreeReason uint8

// Reasons for which a range is free.
const (
	Released      FreeReason = iota // the previous owner has answered a release
	PreviousEnded                   // its incarnation has ended
	GrantsExpired                   // every grant that it may have been sent has expired
)

var freeReasonNames = [...]string{"released", "ended", "expired"}

// String returns the reason in kebab case.
func (r FreeReason) String() string {
	if int(r) < len(freeReasonNames) {
		return freeReasonNames[r]
	}
	return "unknown"
}

// Freed is a range that its previous owner holds no longer, so that it is granted to its owner.
type Freed struct {
	Range
	Previous, Owner Incarnation
	Reason          FreeReason
}

// TakeFreed returns the ranges that were freed since the last call.
func (t *Table) TakeFreed() []Freed {
	l := t.freed
	t.freed = nil
	return l
}
