package crash

// Observation is what one daemon sees when it connects to a server that has refused a connection, and to others of its service.
type Observation struct {
	Reached       bool // the server accepted a connection
	ReachedOthers bool // another server of its service accepted one
}

// HasCrashed reports whether a server that refused a connection has crashed. A daemon that has lost its links gets the same refusals from
// servers that run, so a refusal counts only if a daemon that reaches other servers of the service gets it too. others is the number
// of other servers that the daemons connected to; without any, there is nothing to compare with.
func HasCrashed(l []Observation, others int) bool {
	reachedOthers := false
	for _, x := range l {
		if x.Reached {
			return false
		}
		reachedOthers = reachedOthers || x.ReachedOthers
	}
	return reachedOthers || others == 0
}
