// Package crash identifies requests that crash backend servers, from the crashes that all daemons have observed.
//
// A crash of a server makes every request that ran there a suspect. The request that causes it meets consecutive crashes
// without an answer in between, while the others are answered by their next run. Servers that fail together, as with their
// failure domain, count as one crash: a crash counts only for a run that began when its daemon knew of the previous crash.
// Otherwise a request that many callers send would be refused, because it had run on all of these servers.
package crash

import (
	"encoding/hex"
	"slices"
	"time"

	"heatherrouter/core/mono"
)

// Fingerprint identifies requests with the same organisation and content.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses the output of String. It returns false if s is not a fingerprint in hexadecimal.
func ParseFingerprint(s string) (Fingerprint, bool) {
	var f Fingerprint
	n, err := hex.Decode(f[:], []byte(s))
	return f, err == nil && n == len(f) && len(s) == 2*len(f)
}

// ServerIncarnation identifies one backend server between two restarts.
type ServerIncarnation uint64

// RefusalThreshold is the number of consecutive crashes from which a request is no longer sent to servers.
const RefusalThreshold = 3

// Records holds the number of consecutive server crashes for each request, as shared by all daemons.
type Records map[Fingerprint]int

const (
	// maxSuspects bounds the runs that one daemon counts for one crash. The runs interrupted last are kept.
	maxSuspects = 16

	// maxInterrupted bounds the servers with interrupted runs for which it is not known yet whether they crashed.
	maxInterrupted = 64

	// maxPending bounds the fingerprints for which one daemon has observations that are not in the records yet.
	maxPending = 256

	// MaxRecords bounds the fingerprints in the records. At this number existing records are still updated, but none is added.
	MaxRecords = 512

	// pendingTTL is how long a daemon keeps an observation that it could not write to the records.
	pendingTTL = 2 * time.Minute

	// interruptedTTL is how long interrupted runs are kept without knowing whether their server crashed.
	interruptedTTL = 5 * time.Second
)

// Ages after which a record without another crash is dropped.
const (
	singleCrashTTL   = 2 * time.Minute // most requests in progress at a single crash did not cause it
	repeatedCrashTTL = 15 * time.Minute
)

// RecordTTL returns how long a record with the given number of crashes is kept after the last of them.
func RecordTTL(crashes int) time.Duration {
	if crashes > 1 {
		return repeatedCrashTTL
	}
	return singleCrashTTL
}

// Run is one execution of a request by a backend server.
type Run struct {
	Fingerprint  Fingerprint
	KnownCrashes int // crashes for the request that its daemon knew of when the run began
}

// Tracker holds what one daemon has observed and not yet written to the records.
type Tracker struct {
	interrupted map[ServerIncarnation]*interruptedRuns
	pending     map[Fingerprint]pendingRecord
}

// interruptedRuns holds the interrupted runs of one server incarnation.
type interruptedRuns struct {
	at   mono.Time // when the last run was interrupted
	runs []Run
}

// pendingRecord is the change that this daemon is to make to one record.
type pendingRecord struct {
	crashes  int
	answered bool // whether the request was answered: only crashes since then count
	base     int  // crashes in the record when this daemon counted its last one
	at       mono.Time
}

// apply returns the number of crashes that the record is to hold, given its current number.
func (o pendingRecord) apply(record int) int {
	switch {
	case o.answered && record < RefusalThreshold:
		return o.crashes
	case record < o.base:
		return record // the request was answered elsewhere
	}
	return max(record, o.crashes)
}

// NewTracker returns a tracker without observations.
func NewTracker() *Tracker {
	return &Tracker{interrupted: map[ServerIncarnation]*interruptedRuns{}, pending: map[Fingerprint]pendingRecord{}}
}

// Interrupted records that a run on a server was interrupted. It reports whether the caller must probe the server: false if
// a probe for another run is in progress, or if too many servers have interrupted runs.
func (t *Tracker) Interrupted(now mono.Time, l ServerIncarnation, r Run) bool {
	b := t.interrupted[l]
	if b != nil {
		b.at, b.runs = now, append(b.runs, r)
		b.runs = b.runs[max(0, len(b.runs)-maxSuspects):]
		return false
	}
	if len(t.interrupted) >= maxInterrupted {
		return false
	}
	t.interrupted[l] = &interruptedRuns{at: now, runs: []Run{r}}
	return true
}

// ServerAlive records that a server accepts connections, so that it has not crashed. Its interrupted runs are dropped.
func (t *Tracker) ServerAlive(l ServerIncarnation) { delete(t.interrupted, l) }

// ServerCrashed records that a server has crashed, and returns the requests whose runs there were interrupted.
func (t *Tracker) ServerCrashed(now mono.Time, r Records, l ServerIncarnation) []Fingerprint {
	b := t.interrupted[l]
	if b == nil {
		return nil
	}
	delete(t.interrupted, l)
	var suspects []Fingerprint
	for _, x := range b.runs {
		t.countCrash(now, r, x)
		if !slices.Contains(suspects, x.Fingerprint) {
			suspects = append(suspects, x.Fingerprint)
		}
	}
	return suspects
}

// countCrash counts the crash of a server for one run there.
func (t *Tracker) countCrash(now mono.Time, r Records, x Run) {
	f := x.Fingerprint
	n, o := t.Crashes(r, f), t.pending[f]
	if x.KnownCrashes < n {
		return // the run began before its daemon knew of the last counted crash
	}
	t.setPending(f, pendingRecord{crashes: n + 1, answered: o.answered, base: r[f], at: now})
}

// setPending stores the change of a record, unless it is a new one beyond maxPending.
func (t *Tracker) setPending(f Fingerprint, o pendingRecord) {
	if _, known := t.pending[f]; known || len(t.pending) < maxPending {
		t.pending[f] = o
	}
}

// Empty reports whether the tracker holds no observations.
func (t *Tracker) Empty() bool { return len(t.pending)+len(t.interrupted) == 0 }

// Crashes returns the number of consecutive server crashes for the request.
func (t *Tracker) Crashes(r Records, f Fingerprint) int {
	if o, ok := t.pending[f]; ok {
		return o.apply(r[f])
	}
	return r[f]
}

// Answered records that a server answered the request, and reports whether a record is to be dropped. A request that is
// already refused stays refused: an attempt sent before may have been answered by a server just before its crash.
func (t *Tracker) Answered(now mono.Time, r Records, f Fingerprint) bool {
	if n := t.Crashes(r, f); n == 0 || n >= RefusalThreshold {
		return false
	}
	if r[f] == 0 {
		delete(t.pending, f)
		return false
	}
	t.setPending(f, pendingRecord{answered: true, at: now})
	return true
}

// Change is an update of one record to the given number of crashes, or its removal if that is 0.
type Change struct {
	Fingerprint Fingerprint
	Crashes     int
}

// Changes returns the observations that are not in the records yet, up to the limit, and drops those that are. Callers repeat
// the call until it returns none, because only the records show whether a change was made.
func (t *Tracker) Changes(now mono.Time, r Records, limit int) []Change {
	t.expire(now)
	var l []Change
	for f, o := range t.pending {
		n := o.apply(r[f])
		if n == r[f] {
			delete(t.pending, f)
			continue
		}
		if r[f] == 0 && len(r) >= MaxRecords {
			continue
		}
		l = append(l, Change{Fingerprint: f, Crashes: n})
	}
	slices.SortFunc(l, func(a, b Change) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return l[:min(len(l), limit)]
}

func (t *Tracker) expire(now mono.Time) {
	for l, b := range t.interrupted {
		if now.Sub(b.at) > interruptedTTL {
			delete(t.interrupted, l)
		}
	}
	for f, o := range t.pending {
		if now.Sub(o.at) > pendingTTL {
			delete(t.pending, f)
		}
	}
}

// Expiry tracks the age of records, for the daemon that drops expired ones.
type Expiry struct {
	seen map[Fingerprint]observedRecord
}

type observedRecord struct {
	crashes int
	since   mono.Time
}

// NewExpiry returns an Expiry without records. The age of a record starts at the first call of Expired that includes it.
func NewExpiry() *Expiry { return &Expiry{seen: map[Fingerprint]observedRecord{}} }

// Expired returns the records without another crash for their RecordTTL. Callers drop them.
func (a *Expiry) Expired(now mono.Time, r Records) []Fingerprint {
	var old []Fingerprint
	for f, n := range r {
		x, known := a.seen[f]
		if !known || x.crashes != n {
			a.seen[f] = observedRecord{crashes: n, since: now}
			continue
		}
		if now.Sub(x.since) >= RecordTTL(n) {
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
