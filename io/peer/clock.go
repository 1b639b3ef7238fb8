package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"heatherrouter/io/wire"
)

const (
	// clockDriftDivisor bounds how much slower one host's clock runs than another's, as for leases and terms: by 1 part in 50.
	clockDriftDivisor = 50

	// maxReadingAge is the age of the last reading of a peer's clock after which a call or an exchange takes a new one. Meanwhile
	// the bound falls behind by the drift.
	maxReadingAge = 2 * time.Second
)

// peerClock is a lower bound of a peer's clock. Every message from the peer carries a reading of its clock, which was taken before the
// message arrived. Times are those since the start of the respective host, which also count while a host or a process is paused.
type peerClock struct {
	mu     sync.Mutex
	ahead  time.Duration // of the peer's clock relative to this host's, at the least, at setAt
	setAt  time.Duration
	readAt time.Duration // when a reading last arrived; 0 for none
}

// observe takes a reading that arrived at the given time. Of all readings, the one with the least delay counts.
func (p *peerClock) observe(now, reading time.Duration) {
	if reading <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if ahead := reading - now; p.readAt == 0 || ahead >= p.aheadAt(now) {
		p.ahead, p.setAt = ahead, now
	}
	p.readAt = max(p.readAt, now)
}

// aheadAt returns the lower bound of ahead at the given time. The caller must hold p.mu.
func (p *peerClock) aheadAt(now time.Duration) time.Duration {
	return p.ahead - (now-p.setAt).Abs()/clockDriftDivisor
}

// earliest returns a reading that the peer's clock has reached at the given time of this host; 0 if it isn't known.
func (p *peerClock) earliest(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.readAt == 0 {
		return 0
	}
	return max(0, now+p.aheadAt(now))
}

// fresh reports whether the peer's clock was read within maxReadingAge.
func (p *peerClock) fresh(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readAt > 0 && now-p.readAt < maxReadingAge
}

// known reports whether the peer's clock was ever read.
func (p *peerClock) known() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readAt > 0
}

// stampCall sets the times of a call whose contents are as of the given time.
func (l *link) stampCall(m *wire.Call, asOf time.Duration) {
	m.SentUs, m.ClockUs = micros(l.peerClock.earliest(asOf)), micros(l.hostClock.SinceBoot())
}

// observeReply takes the reading of the peer's clock in a reply.
func (l *link) observeReply(m *wire.Reply) {
	l.peerClock.observe(l.hostClock.SinceBoot(), fromMicros(m.GetClockUs()))
}

// stampReply sets the times of a reply to a call that was received at the given time.
func (t *Transport) stampReply(r *wire.Reply, m *wire.Call, received time.Duration) {
	now := t.clock.SinceBoot()
	r.ClockUs = micros(now)
	if m.GetClockUs() > 0 {
		held := now - received
		r.SentUs = m.GetClockUs() + micros(held-held/clockDriftDivisor)
	}
}

// errUnknownClock is the error of an exchange with a peer of an earlier version, which doesn't tell its clock.
var errUnknownClock = &Error{Sent: false, Err: errors.New("clock of the peer isn't known")}

// readClock takes a reading of the peer's clock, unless there is a recent one.
func (l *link) readClock(c context.Context) error {
	if l.peerClock.fresh(l.hostClock.SinceBoot()) {
		return nil
	}
	m := &wire.Call{Body: &wire.Call_Clock{Clock: &wire.Empty{}}}
	if _, err := l.control.call(c, m, l.hostClock.SinceBoot()); err != nil {
		return err
	}
	if !l.peerClock.fresh(l.hostClock.SinceBoot()) {
		return errUnknownClock
	}
	return nil
}

// refreshClock takes a reading of the peer's clock if the last one is old: the allowance for drift would make messages on a link without calls
// look seconds old.
func (l *link) refreshClock(c context.Context) error {
	if !l.peerClock.known() {
		return nil
	}
	return l.readClock(c)
}

func micros(d time.Duration) uint64 {
	return uint64(max(0, d.Microseconds())) //nolint:gosec // not negative
}

func fromMicros(us uint64) time.Duration {
	return time.Duration(us) * time.Microsecond //nolint:gosec // time since the start of a host
}
