// Package live keeps what one daemon knows of which other daemons are alive.
//
// Its verdicts are suspicions: they start work, such as choosing a new home, that is safe when they are
// wrong. Who may send to a backend server is decided by leases alone.
package live

import (
	"slices"
	"strings"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

const (
	// SilentAfter is how long a daemon may say nothing before its work is given to others. Probes come several
	// times within it, and it leaves a lost home's keys unserved for less than the 3 s that are promised.
	SilentAfter = 900 * time.Millisecond

	// SilentListed is the same for a daemon that the host list calls gone too. The list lags and errs, so it
	// only shortens the wait: a daemon that still speaks is alive, whatever the list says.
	SilentListed = 600 * time.Millisecond

	// PausedAfter is the gap between two calls from which on this process is taken to have been paused.
	PausedAfter = 400 * time.Millisecond

	// ForgetAfter is how long a silent daemon is remembered, so that a return can be told from a first sight.
	ForgetAfter = 10 * time.Minute
)

// Word is what a daemon says of itself in a probe or its answer.
type Word struct {
	Daemon      ident.Daemon
	Domain      ident.Domain
	Region      ident.Region
	Incarnation ident.Incarnation
	Leaving     bool
}

// Daemon is what is known of one daemon.
type Daemon struct {
	Word
	Since   mono.Time // when its present run of words began; meaningful while it is alive
	Heard   mono.Time // its last word
	Listed  Listing
	Forgets mono.Time // when it is forgotten unless it speaks
}

// Listing is what the platform's host list says of a daemon.
type Listing uint8

const (
	// Unlisted is a daemon that the list has not named yet, or the list could not be read.
	Unlisted Listing = iota
	// ListedLive is a daemon that the list calls live.
	ListedLive
	// ListedLeaving is a daemon whose host the list calls leaving.
	ListedLeaving
	// ListedGone is a daemon that the list named once and no longer does.
	ListedGone
)

// Alive reports whether the daemon spoke recently enough to be given work.
func (d *Daemon) Alive(now mono.Time) bool {
	return now.Before(d.SilentAt())
}

// SilentAt returns when the daemon counts as silent unless it speaks.
func (d *Daemon) SilentAt() mono.Time {
	if d.Listed == ListedGone {
		return d.Heard.Add(SilentListed)
	}
	return d.Heard.Add(SilentAfter)
}

// Leaves reports whether the daemon says that it is leaving, or the host list says so of its host.
func (d *Daemon) Leaves() bool {
	return d.Leaving || d.Listed == ListedLeaving
}

// View is what one daemon knows of all others; itself it always knows to be alive.
//
// Its owner asks it or tells it something several times within PausedAfter.
type View struct {
	self    ident.Daemon
	daemons map[ident.Daemon]*Daemon
	awake   mono.Time // a call after this means that the process was paused in between
}

// New returns a view that knows only the daemon itself.
func New(now mono.Time, self Word) *View {
	v := &View{self: self.Daemon, daemons: map[ident.Daemon]*Daemon{}, awake: mono.Never}
	v.Hear(now, self)
	return v
}

// wake credits the others with the time of a pause of this process. Their words of that time wait in its
// sockets. Without this, a daemon that was frozen for a second would find everybody silent at its first
// look, and as a coordinator would move every home.
func (v *View) wake(now mono.Time) {
	if v.awake.Before(now) {
		paused := v.awake.Add(-PausedAfter)
		for _, d := range v.daemons {
			if d.Alive(paused) {
				d.Heard = max(d.Heard, now.Add(-PausedAfter))
			}
		}
	}
	v.awake = now.Add(PausedAfter)
}

// Hear takes in a word of a daemon.
//
// A word of an older incarnation is a late one from before a restart. Taken in, it would make a daemon
// that has started anew and is silent look alive, and bring back a leaving flag of its former life.
func (v *View) Hear(now mono.Time, w Word) {
	v.wake(now)
	d := v.daemons[w.Daemon]
	if d != nil && w.Incarnation < d.Incarnation {
		return
	}
	if d == nil {
		d = &Daemon{Since: now}
		v.daemons[w.Daemon] = d
	}
	if !d.Alive(now) || w.Incarnation > d.Incarnation {
		d.Since = now
	}
	d.Word = w
	d.Heard = max(d.Heard, now)
	d.Forgets = d.Heard.Add(ForgetAfter)
}

// Refresh notes that a known daemon has just shown itself alive by some other message.
func (v *View) Refresh(now mono.Time, id ident.Daemon) {
	if d := v.daemons[id]; d != nil {
		v.Hear(now, d.Word)
	}
}

// List takes in a whole reading of the host list: the daemons that it names, and whether each is leaving.
func (v *View) List(hosts map[ident.Daemon]bool) {
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

// Daemons returns all that is known, sorted by name, and forgets daemons that have been silent for long.
func (v *View) Daemons(now mono.Time) []Daemon {
	v.wake(now)
	v.daemons[v.self].Heard = max(v.daemons[v.self].Heard, now)
	l := make([]Daemon, 0, len(v.daemons))
	for id, d := range v.daemons {
		if id != v.self && !now.Before(d.Forgets) {
			delete(v.daemons, id)
			continue
		}
		l = append(l, *d)
	}
	slices.SortFunc(l, func(a, b Daemon) int { return strings.Compare(string(a.Daemon), string(b.Daemon)) })
	return l
}

// Alive reports whether a daemon is alive.
func (v *View) Alive(now mono.Time, id ident.Daemon) bool {
	v.wake(now)
	d := v.daemons[id]
	return d != nil && (id == v.self || d.Alive(now))
}
