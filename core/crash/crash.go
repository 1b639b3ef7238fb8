// Package crash tells which requests crash the backend servers that run them, from what all daemons have seen.
//
// A server's crash looks the same to all requests that ran there. A request to blame meets one crash after the other and is
// never answered in between; the others are answered the next time.
package crash

import (
	"encoding/hex"
	"slices"
	"time"

	"heatherrouter/core/mono"
)

// Fingerprint names requests of the same organisation and content.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint reads what String wrote.
func ParseFingerprint(s string) (Fingerprint, bool) {
	var f Fingerprint
	n, err := hex.Decode(f[:], []byte(s))
	return f, err == nil && n == len(f) && len(s) == 2*len(f)
}

// Life names one life of a backend server.
type Life uint64

// RefusedFrom is under how many crashes a request is kept from servers.
const RefusedFrom = 3

// Records are the lives of servers that ended under requests, as all daemons know of them.
type Records map[Fingerprint][]Life

const (
	// maxBlamed bounds the requests that are blamed for one crash by one daemon, the last sent first.
	maxBlamed = 16

	// maxBroken bounds the servers whose runs broke off and of which it isn't known yet whether they crashed.
	maxBroken = 64

	// maxOwn bounds the fingerprints that one daemon has seen at crashes and that aren't in the records yet.
	maxOwn = 256

	// maxLives bounds the lives of one record: runs that were under way when it became refused add a few.
	maxLives = 2 * RefusedFrom

	// MaxRecords bounds the fingerprints in the records. Beyond, only those that are there get further lives.
	MaxRecords = 512

	// ownFor is how long a daemon keeps what it couldn't add to the records.
	ownFor = 2 * time.Minute

	// brokenFor is how long a run that broke off waits for news of its server.
	brokenFor = 5 * time.Second
)

// Ages after which a record without another crash is dropped.
const (
	singleFor   = 2 * time.Minute // of one crash, which most requests under way at it have nothing to do with
	repeatedFor = 15 * time.Minute
)

// KeepFor returns how long a record of so many crashes is kept after the last of them.
func KeepFor(crashes int) time.Duration {
	if crashes > 1 {
		return repeatedFor
	}
	return singleFor
}

// Tracker is what one daemon has seen that isn't in the records yet.
type Tracker struct {
	broken  map[Life]*broken
	own     map[Fingerprint]*own
	cleared map[Fingerprint]mono.Time // answered since; their records are dropped
}

// broken is runs at one life of a server that broke off.
type broken struct {
	at   mono.Time // of the last
	runs []Fingerprint
}

type own struct {
	lives []Life
	at    mono.Time // of the last crash
}

// NewTracker returns a tracker that has seen nothing.
func NewTracker() *Tracker {
	return &Tracker{broken: map[Life]*broken{}, own: map[Fingerprint]*own{}, cleared: map[Fingerprint]mono.Time{}}
}

// Broke takes in that a run at a server broke off. It reports whether the server is to be looked at: not already for another run.
func (t *Tracker) Broke(now mono.Time, l Life, f Fingerprint) bool {
	b := t.broken[l]
	if b != nil {
		b.at, b.runs = now, append(b.runs, f)
		b.runs = b.runs[max(0, len(b.runs)-maxBlamed):]
		return false
	}
	if len(t.broken) >= maxBroken {
		return false
	}
	t.broken[l] = &broken{at: now, runs: []Fingerprint{f}}
	return true
}

// Lives takes in that a server whose runs broke off takes connections: it hasn't crashed.
func (t *Tracker) Lives(l Life) { delete(t.broken, l) }

// Crashed takes in that a server is down, and returns the requests that are blamed for it.
func (t *Tracker) Crashed(now mono.Time, l Life) []Fingerprint {
	b := t.broken[l]
	if b == nil {
		return nil
	}
	delete(t.broken, l)
	var blamed []Fingerprint
	for _, f := range b.runs {
		if slices.Contains(blamed, f) {
			continue
		}
		o := t.own[f]
		if o == nil {
			if len(t.own) >= maxOwn {
				continue
			}
			o = &own{}
			t.own[f] = o
		}
		if !slices.Contains(o.lives, l) {
			o.lives = append(o.lives, l)
		}
		o.at = now
		delete(t.cleared, f)
		blamed = append(blamed, f)
	}
	return blamed
}

// Empty reports whether nothing is kept of any request.
func (t *Tracker) Empty() bool { return len(t.own)+len(t.broken) == 0 }

// Crashes returns how many servers ended under the request.
func (t *Tracker) Crashes(r Records, f Fingerprint) int {
	n := len(r[f])
	if o := t.own[f]; o != nil {
		for _, l := range o.lives {
			if !slices.Contains(r[f], l) {
				n++
			}
		}
	}
	return n
}

// Answered takes in that a server ran the request to an end; it reports whether there is a record to drop. A request that is
// refused by now stays so: an attempt that was sent before may have met a server that was just about to crash.
func (t *Tracker) Answered(now mono.Time, r Records, f Fingerprint) bool {
	if n := t.Crashes(r, f); n == 0 || n >= RefusedFrom {
		return false
	}
	delete(t.own, f)
	if len(r[f]) == 0 || len(t.cleared) >= maxOwn {
		return false
	}
	t.cleared[f] = now
	return true
}

// Change is what a daemon wants changed of one record: the lives that it is to have, or none to drop it.
type Change struct {
	Fingerprint Fingerprint
	Lives       []Life
}

// Changes returns by what the records differ from what this daemon has seen, so many at most, and forgets what is in them.
// It is asked again until nothing is left: whether a change was made, the records tell.
func (t *Tracker) Changes(now mono.Time, r Records, most int) []Change {
	t.expire(now)
	var l []Change
	for f := range t.cleared {
		if len(r[f]) == 0 || len(r[f]) >= RefusedFrom {
			delete(t.cleared, f)
		} else {
			l = append(l, Change{Fingerprint: f})
		}
	}
	for f, o := range t.own {
		if t.Crashes(r, f) == len(r[f]) || len(r[f]) >= maxLives {
			delete(t.own, f)
			continue
		}
		if len(r[f]) == 0 && len(r) >= MaxRecords {
			continue
		}
		l = append(l, Change{Fingerprint: f, Lives: union(r[f], o.lives)})
	}
	slices.SortFunc(l, func(a, b Change) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return l[:min(len(l), most)]
}

func union(a, b []Life) []Life {
	l := slices.Clone(a)
	for _, x := range b {
		if !slices.Contains(l, x) {
			l = append(l, x)
		}
	}
	return l
}

func (t *Tracker) expire(now mono.Time) {
	for l, b := range t.broken {
		if now.Sub(b.at) > brokenFor {
			delete(t.broken, l)
		}
	}
	for f, o := range t.own {
		if now.Sub(o.at) > ownFor {
			delete(t.own, f)
		}
	}
	for f, at := range t.cleared {
		if now.Sub(at) > ownFor {
			delete(t.cleared, f)
		}
	}
}

// Aging finds the records that are too old, for the daemon that drops them.
type Aging struct {
	seen map[Fingerprint]aged
}

type aged struct {
	crashes int
	since   mono.Time
}

// NewAging returns an Aging that has seen no record yet: their ages count from when it first does.
func NewAging() *Aging { return &Aging{seen: map[Fingerprint]aged{}} }

// Expired returns the records that are to be dropped.
func (a *Aging) Expired(now mono.Time, r Records) []Fingerprint {
	var old []Fingerprint
	for f, l := range r {
		x, known := a.seen[f]
		if !known || x.crashes != len(l) {
			a.seen[f] = aged{crashes: len(l), since: now}
			continue
		}
		if now.Sub(x.since) >= KeepFor(len(l)) {
			old = append(old, f)
		}
	}
	for f := range a.seen {
		if _, ok := r[f]; !ok {
			delete(a.seen, f)
		}
	}
	return old
}
