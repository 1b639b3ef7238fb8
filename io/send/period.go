package send

import "heatherrouter/core/mono"

// checkTime returns the result of a request that may not be sent any more, or nil.
func (s *Sender) checkTime(r *request, now mono.Time) *result {
	var f result
	switch {
	case !now.Before(r.deadline):
		f = s.refuseExpired(r)
	case !s.inSendPeriod(r):
		f = s.refuse(r, reasonHandoverExpired)
	default:
		return nil
	}
	return &f
}

// inSendPeriod reports whether the request may be sent as far as the peer that handed it over is concerned. After the period, the peer may
// send it itself or answer its caller.
func (s *Sender) inSendPeriod(r *request) bool {
	return !r.relayed || s.o.Clock.SinceBoot() < r.sendEnd
}
