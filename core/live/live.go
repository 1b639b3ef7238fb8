// Package live is the failure detector of one daemon for the other daemons.
//
// Its results are suspicions and may be wrong. They only start work that is safe in that case, such as choosing a new
// home. Leases alone decide which daemon may send to a backend server.
package live

import (
	"slices"
	"strings"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

const (
	// SuspectAfter is how long a daemon may send no heartbeat before its work is given to others. Several probes fit
	// into it, and the keys of a failed home are unserved for less than the guaranteed 3 s.
	SuspectAfter = 900 * time.Millisecond

	// SuspectAfterGone replaces SuspectAfter for a daemon that is also gone from the host list. The list may lag or be
	// wrong, so it only shortens the timeout: a daemon that still sends heartbeats is alive whatever the list says.
	SuspectAfterGone = 600 * time.Millisecond

	// PauseThreshold is the time between two calls of a View beyond which this process is assumed to have been paused.
	PauseThreshold = 400 * time.Millisecond

	// ForgetAfter is how long a daemon without heartbeats is kept, so that its return differs from a first heartbeat.
	ForgetAfter = 10 * time.Minute
)

// Heartbeat is what a daemon reports of itself in a probe or in the answer to one.
type Heartbeat struct {
	Daemon      ident.Daemon
	Domain      ident.Domain
	Region      ident.Region
	Incarnation ident.Incarnation
	Leaving     bool
}

// Daemon is the state of one daemon as another daemon knows it.
type Daemon struct {
	Heartbeat
	AliveSince  mono.Time // start of the current period alive, valid only while the daemon is alive
	LastContact mono.Time // when it last sent a message, or later after a pause of this process
	Listed      Listing
	ForgetAt    mono.Time // when the daemon is removed from the view without a further heartbeat
}

// Listing is the state of a daemon in the platform's host list.
type Listing uint8

const (
	// Unlisted means that the list has not included the daemon yet, or could not be read.
	Unlisted Listing = iota
	// ListedLive means that the list includes the daemon's host as live.
	ListedLive
	// ListedLeaving means that the list includes the daemon's host as leaving.
	ListedLeaving
	// ListedGone means that the list included the daemon's host earlier and no longer does.
	ListedGone
)

// Alive reports whether the daemon's last heartbeat is recent enough for it to be given work.
func (d *Daemon) Alive(now mono.Time) bool {
	return now.Before(d.SuspectAt())
}

// SuspectAt returns when the daemon becomes suspected without a further heartbeat.
func (d *Daemon) SuspectAt() mono.Time {
	if d.Listed == ListedGone {
		return d.LastContact.Add(SuspectAfterGone)
	}
	return d.LastContact.Add(SuspectAfter)
}

// IsLeaving reports whether the daemon's last heartbeat or the host list says that it is leaving.
func (d *Daemon) IsLeaving() bool {
	return d.Leaving || d.Listed == ListedLeaving
}

// View is the state of all daemons as one daemon knows it. It always reports its own daemon as alive.
//
// Its owner must call it several times within PauseThreshold.
type View struct {
	self        ident.Daemon
	daemons     map[ident.Daemon]*Daemon
	pausedAfter mono.Time // a call after this time shows that the process was paused since the previous one
}

// New returns a view that contains only its own daemon.
func New(now mono.Time, self Heartbeat) *View {
	v := &View{self: self.Daemon, daemons: map[ident.Daemon]*Daemon{}, pausedAfter: mono.Never}
	v.Observe(now, self)
	return v
}

// creditPause extends the timeouts of the other daemons after a pause of this process, as heartbeats received during the
// pause are still unread in its sockets. Otherwise a daemon paused for a second would suspect all others at its next
// call, and a coordinator would reassign every home.
func (v *View) creditPause(now mono.Time) {
	if v.pausedAfter.Before(now) {
		paused := v.pausedAfter.Add(-PauseThreshold)
		for _, d := range v.daemons {
			if d.Alive(paused) {
				d.LastContact = max(d.LastContact, now.Add(-PauseThreshold))
			}
		}
	}
	v.pausedAfter = now.Add(PauseThreshold)
}

// Observe records a heartbeat of a daemon.
//
// A heartbeat of an older incarnation is ignored, as it was sent before a restart. It would make a restarted daemon that
// sends nothing look alive, and restore the leaving flag of its previous incarnation.
func (v *View) Observe(now mono.Time, w Heartbeat) {
	v.creditPause(now)
	d := v.daemons[w.Daemon]
	if d != nil && w.Incarnation < d.Incarnation {
		return
	}
	if d == nil {
		d = &Daemon{AliveSince: now}
		v.daemons[w.Daemon] = d
	}
	if !d.Alive(now) || w.Incarnation > d.Incarnation {
		d.AliveSince = now
	}
	d.Heartbeat = w
	d.LastContact = max(d.LastContact, now)
	d.ForgetAt = d.LastContact.Add(ForgetAfter)
}

// Refresh records that another message from a known daemon has just shown that it is alive.
func (v *View) Refresh(now mono.Time, id ident.Daemon) {
	if d := v.daemons[id]; d != nil {
		v.Observe(now, d.Heartbeat)
	}
}

// SetHostList applies a complete host list: the daemons that it includes, each with whether it is leaving.
func (v *View) SetHostList(hosts map[ident.Daemon]bool) {
	for id, d := range v.daemons {
		leaving, ok := hosts[id]
		switch {
		case ok && leaving:
			d.Listed = ListedLeaving
		case ok:
			d.Listed = ListedLive
		case d.Listed != Unlisted:
			d.Listed = ListedGone
		}
	}
}

// Daemons returns the state of all daemons, sorted by name. It first removes daemons whose ForgetAt has passed.
func (v *View) Daemons(now mono.Time) []Daemon {
	v.creditPause(now)
	v.daemons[v.self].LastContact = max(v.daemons[v.self].LastContact, now)
	l := make([]Daemon, 0, len(v.daemons))
	for id, d := range v.daemons {
		if id != v.self && !now.Before(d.ForgetAt) {
			delete(v.daemons, id)
			continue
		}
		l = append(l, *d)
	}
	slices.SortFunc(l, func(a, b Daemon) int { return strings.Compare(string(a.Daemon), string(b.Daemon)) })
	return l
}

// Alive reports whether a daemon is known and not suspected.
func (v *View) Alive(now mono.Time, id ident.Daemon) bool {
	v.creditPause(now)
	d := v.daemons[id]
	return d != nil && (id == v.self || d.Alive(now))
}
