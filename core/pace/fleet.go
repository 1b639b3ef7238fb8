package pace

import (
	"slices"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// ShareLease is how long a daemon may use its shares of limits without news of the site. It is shorter than the time without contact
// after which the others no longer count it, so that they raise their shares only once it has stopped using its own.
const ShareLease = 5 * time.Second

// Fleet knows by which daemons limits on all of them are shared.
//
// The views of daemons differ while daemons come and go. The shares that they take still sum up to the limit, because each divides by
// a set that contains all daemons which may use a share: those that have left its view recently are included, a daemon whose view is
// old has no share, and neither has one that has just started, which others may not know yet and whose previous incarnation may have
// used the share.
type Fleet struct {
	self      ident.Daemon
	startedAt mono.Time
	view      []ident.Daemon // sorted
	departed  map[ident.Daemon]mono.Time
	copyAge   time.Duration
	sharers   map[time.Duration]sharers // by span
}

// sharers are the daemons among which limits are divided until one of those that have left the view is left out.
type sharers struct {
	daemons []ident.Daemon
	until   mono.Time
}

// NewFleet returns the Fleet of a daemon that starts now.
func NewFleet(self ident.Daemon, now mono.Time) *Fleet {
	return &Fleet{self: self, startedAt: now, departed: map[ident.Daemon]mono.Time{}, sharers: map[time.Duration]sharers{}}
}

// Observe sets the sorted daemons of the site as this daemon knows them, and how old that is.
func (f *Fleet) Observe(now mono.Time, view []ident.Daemon, copyAge time.Duration) {
	f.copyAge = copyAge
	if len(view) == len(f.view) && (len(view) == 0 || &view[0] == &f.view[0]) {
		return
	}
	for _, d := range f.view {
		if _, found := slices.BinarySearch(view, d); !found {
			f.departed[d] = now
		}
	}
	for _, d := range view {
		delete(f.departed, d)
	}
	f.view = view
	clear(f.sharers)
}

// Sharers returns the sorted daemons among which a limit on events in any span of the given length is divided, or nil if this daemon
// has no share of it.
func (f *Fleet) Sharers(now mono.Time, span time.Duration) []ident.Daemon {
	_, known := slices.BinarySearch(f.view, f.self)
	if !known || f.copyAge > ShareLease || now.Sub(f.startedAt) < span {
		return nil
	}
	x, ok := f.sharers[span]
	if !ok || !now.Before(x.until) {
		x = f.collect(now, span)
		f.sharers[span] = x
	}
	return x.daemons
}

// collect returns the daemons of the view, and those that left it within the span.
func (f *Fleet) collect(now mono.Time, span time.Duration) sharers {
	x := sharers{daemons: f.view, until: mono.Never}
	for d, at := range f.departed {
		if end := at.Add(span); now.Before(end) {
			x.daemons, x.until = append(slices.Clip(x.daemons), d), min(x.until, end)
		}
	}
	if len(x.daemons) > len(f.view) {
		slices.Sort(x.daemons)
	}
	return x
}

// Prune forgets daemons that left the view longer than the span ago.
func (f *Fleet) Prune(now mono.Time, span time.Duration) {
	for d, at := range f.departed {
		if now.Sub(at) > span {
			delete(f.departed, d)
		}
	}
}
