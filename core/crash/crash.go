// Package crash tells which requests crash the backend servers that run them, from what all daemons have seen.
//
// A server's crash looks the same to all requests that ran there. A request to blame meets one crash after the other and is
// never answered in between; the others are answered the next time. Servers that are lost together, as with their failure
// domain, count as one: a crash counts only for a run that began when the crash before was known to its daemon. Otherwise a
// request that many callers send would have run on all of them, and be refused for it.
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

// RefusedFrom is after how many crashes, one after the other, a request is kept from servers.
const RefusedFrom = 3

// Records tell how many servers crashed under each request, one after the other, as all daemons know of them.
type Records map[Fingerprint]int

const (
	// maxBlamed bounds the requests that are blamed for one crash by one daemon, the last sent first.
	maxBlamed = 16

	// maxBroken bounds the servers whose runs broke off and of which it isn't known yet whether they crashed.
	maxBroken = 64

	// maxOwn bounds the fingerprints that one daemon has seen at crashes and that aren't in the records yet.
	maxOwn = 256

	// MaxRecords bounds the fingerprints in the records. Beyond, only those that are there count on.
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

// Run is one run of a request.
type Run struct {
	Fingerprint Fingerprint
	Known       int // crashes under the request that its daemon knew of when the run began
}

// Tracker is what one daemon has seen that isn't in the records yet.
type Tracker struct {
	broken map[Life]*broken
	own    map[Fingerprint]own
}

// broken is runs at one life of a server that broke off.
type broken struct {
	at   mono.Time // of the last
	runs []Run
}

// own is what this daemon wants one record to say.
type own struct {
	crashes  int
	answered bool // the request was: only the crashes since count
	base     int  // crashes in the record when the last one was counted
	at       mono.Time
}

// with returns what the record is to say, given what it says now.
func (o own) with(record int) int {
	switch {
	case o.answered && record < RefusedFrom:
		return o.crashes
	case record < o.base:
		return record // the request was answered elsewhere
	}
	return max(record, o.crashes)
}

// NewTracker returns a tracker that has seen nothing.
func NewTracker() *Tracker {
	return &Tracker{broken: map[Life]*broken{}, own: map[Fingerprint]own{}}
}

// Broke takes in that a run at a server broke off. It reports whether the server is to be probed: it isn't where it is being
// probed for another run.
func (t *Tracker) Broke(now mono.Time, l Life, r Run) bool {
	b := t.broken[l]
	if b != nil {
		b.at, b.runs = now, append(b.runs, r)
		b.runs = b.runs[max(0, len(b.runs)-maxBlamed):]
		return false
	}
	if len(t.broken) >= maxBroken {
		return false
	}
	t.broken[l] = &broken{at: now, runs: []Run{r}}
	return true
}

// Lives takes in that a server whose runs broke off takes connections: it hasn't crashed.
func (t *Tracker) Lives(l Life) { delete(t.broken, l) }

// Crashed takes in that a server is down, and returns the requests that ran there.
func (t *Tracker) Crashed(now mono.Time, r Records, l Life) []Fingerprint {
	b := t.broken[l]
	if b == nil {
		return nil
	}
	delete(t.broken, l)
	var blamed []Fingerprint
	for _, x := range b.runs {
		t.count(now, r, x)
		if !slices.Contains(blamed, x.Fingerprint) {
			blamed = append(blamed, x.Fingerprint)
		}
	}
	return blamed
}

// count counts the crash of a server for a run there.
func (t *Tracker) count(now mono.Time, r Records, x Run) {
	f := x.Fingerprint
	n, o := t.Crashes(r, f), t.own[f]
	if x.Known < n {
		return // the run began before the last one counted was known
	}
	t.set(f, own{crashes: n + 1, answered: o.answered, base: r[f], at: now})
}

// set keeps what the record of a request is to say, unless too many are kept.
func (t *Tracker) set(f Fingerprint, o own) {
	if _, known := t.own[f]; known || len(t.own) < maxOwn {
		t.own[f] = o
	}
}

// Empty reports whether nothing is kept of any request.
func (t *Tracker) Empty() bool { return len(t.own)+len(t.broken) == 0 }

// Crashes returns how many servers crashed under the request, one after the other.
func (t *Tracker) Crashes(r Records, f Fingerprint) int {
	if o, ok := t.own[f]; ok {
		return o.with(r[f])
	}
	return r[f]
}

// Answered takes in that a server ran the request to an end; it reports whether there is a record to drop. A request that is
// refused by now stays so: an attempt that was sent before may have met a server that was just about to crash.
func (t *Tracker) Answered(now mono.Time, r Records, f Fingerprint) bool {
	if n := t.Crashes(r, f); n == 0 || n >= RefusedFrom {
		return false
	}
	if r[f] == 0 {
		delete(t.own, f)
		return false
	}
	t.set(f, own{answered: true, at: now})
	return true
}

// Change is what a daemon wants changed of one record: the crashes that it is to say, or none to drop it.
type Change struct {
	Fingerprint Fingerprint
	Crashes     int
}

// Changes returns by what the records differ from what this daemon has seen, so many at most, and forgets what is in them.
// It is asked again until nothing is left: whether a change was made, the records tell.
func (t *Tracker) Changes(now mono.Time, r Records, most int) []Change {
	t.expire(now)
	var l []Change
	for f, o := range t.own {
		n := o.with(r[f])
		if n == r[f] {
			delete(t.own, f)
			continue
		}
		if r[f] == 0 && len(r) >= MaxRecords {
			continue
		}
		l = append(l, Change{Fingerprint: f, Crashes: n})
	}
	slices.SortFunc(l, func(a, b Change) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return l[:min(len(l), most)]
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
	for f, n := range r {
		x, known := a.seen[f]
		if !known || x.crashes != n {
			a.seen[f] = aged{crashes: n, since: now}
			continue
		}
		if now.Sub(x.since) >= KeepFor(n) {
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
