package hold_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"heatherrouter/core/elect"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// row is a row of the store: the coordinator's, the assignment, a daemon's or a server's entry.
type row struct {
	rev  int
	gone bool

	coord       elect.Row
	assignments []hold.Assignment
	reservation hold.Reservation
	incarnation ident.Incarnation // of a daemon
	born        int64             // of a server
	addr        int
}

// Keys of rows that occur once.
const (
	coordKey = "coordinator"
	keysKey  = "keys"
)

// table is one table of the store or a copy of it.
type table struct {
	rev  int
	rows map[string]row
}

func newTable() table { return table{rows: map[string]row{}} }

// get returns a row, and the zero row if there is none.
func (t *table) get(k string) row {
	if r := t.rows[k]; !r.gone {
		return r
	}
	return row{}
}

func (t *table) clone() table {
	x := newTable()
	x.rev = t.rev
	for k, r := range t.rows {
		x.rows[k] = r
	}
	return x
}

const (
	control = iota
	servers
	tables
)

// txn is a transaction on the control table.
type txn struct {
	expect map[string]int
	put    map[string]row
	drop   []string
}

type storeError int

const (
	stored     storeError = iota
	conflict              // not applied: a condition didn't hold
	notApplied            // and never will be
	unknown               // may have been applied, or may be later
)

// event is something that happens at a moment. Events of a daemon wait while it is frozen and are dropped once it has ended.
type event struct {
	at  mono.Time
	seq int
	of  *daemon
	f   func()
}

type events []event

func (l events) Len() int      { return len(l) }
func (l events) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *events) Push(x any)   { *l = append(*l, x.(event)) }
func (l events) Less(i, j int) bool {
	return l[i].at < l[j].at || l[i].at == l[j].at && l[i].seq < l[j].seq
}

func (l *events) Pop() any {
	n := len(*l) - 1
	x := (*l)[n]
	*l = (*l)[:n]
	return x
}

// succession plays daemons that succeed one another as the coordinator, their store, and servers.
type succession struct {
	rnd       *rand.Rand
	faults    faults
	timing    hold.Timing
	now       mono.Time
	queue     events
	seq       int
	quiet     bool // no more faults
	isolating bool // isolate is in progress

	store   [tables]table
	hosts   []*host
	servers []*server
	slots   []*serverSlot
	listen  map[int]*server // by address
	addrs   int
	rates   hold.Rates
	barred  map[ident.Server]bool // may hold no keys for now

	taken [hold.Keys]taken
	fault string
	on    hold.Range // keys of the fault
	trace []traceLine
	seen  map[string]int // lines that later ones replace
}

type traceLine struct {
	at    mono.Time
	keys  hold.Range
	keyed bool
	text  string
}

func (w *succession) after(d time.Duration, of *daemon, f func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, of: of, f: f})
}

// runUntil plays the events up to a moment.
func (w *succession) runUntil(t mono.Time) {
	for len(w.queue) > 0 && !t.Before(w.queue[0].at) && w.fault == "" {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		if e.of != nil {
			if e.of.ended {
				continue
			}
			if u := e.of.host.frozenUntil; w.now.Before(u) {
				e.at = u
				heap.Push(&w.queue, e)
				continue
			}
		}
		e.f()
	}
	if w.fault == "" {
		w.now = t
	}
}

// between returns a random duration.
func (w *succession) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.rnd.Int64N(int64(b-a)+1))
}

// long returns a random duration, in which short and long ones are equally likely.
func (w *succession) long(a, b time.Duration) time.Duration {
	return time.Duration(float64(a) * math.Pow(float64(b)/float64(a), w.rnd.Float64()))
}

// once reports true about once in the given time, if called each tick.
func (w *succession) once(every time.Duration) bool {
	return w.rnd.Float64() < float64(tick)/float64(every)
}

func (w *succession) oneIn(n int) bool { return w.rnd.IntN(n) == 0 }

func (w *succession) logf(format string, args ...any) {
	w.trace = append(w.trace, traceLine{at: w.now, text: fmt.Sprintf(format, args...)})
}

// logKeys records a line about keys; a later line with the same id replaces it.
func (w *succession) logKeys(r hold.Range, id, format string, args ...any) {
	x := traceLine{at: w.now, keys: r, keyed: true, text: fmt.Sprintf(format, args...)}
	if i, ok := w.seen[id]; ok && id != "" {
		x.at, x.text = w.trace[i].at, x.text+fmt.Sprintf(", last at %.3f", time.Duration(w.now).Seconds())
		w.trace[i] = x
		return
	}
	w.trace = append(w.trace, x)
	if id != "" {
		w.seen[id] = len(w.trace) - 1
	}
}

// apply applies a transaction if its conditions hold.
func (w *succession) apply(x txn) (int, storeError) {
	t := &w.store[control]
	for k, rev := range x.expect {
		if t.get(k).rev != rev {
			return 0, conflict
		}
	}
	t.rev++
	for k, r := range x.put {
		r.rev = t.rev
		t.rows[k] = r
	}
	for _, k := range x.drop {
		t.rows[k] = row{rev: t.rev, gone: true}
	}
	return t.rev, stored
}

// applyAs applies a transaction and records the new coordinator's row.
func (w *succession) applyAs(by *daemon, x txn, late string) (int, storeError) {
	rev, err := w.apply(x)
	if c, ok := x.put[coordKey]; ok {
		w.logf("%s%s row of term %d for %q: clean %v without-quorum %v voters %v: %s", by.name(), late, c.coord.Term, c.coord.Daemon,
			c.coord.Clean, c.coord.WithoutQuorum, c.coord.Voters, [...]string{"written", "conflict"}[min(err, 1)])
	}
	if c, ok := x.put[keysKey]; ok && (late != "" || err != stored) {
		w.logf("%s%s assignment with fences to %d: %s", by.name(), late, c.reservation.Fence, [...]string{"written", "conflict"}[min(err, 1)])
	}
	return rev, err
}

// commit sends a transaction of the daemon to the store.
func (w *succession) commit(d *daemon, x txn, timeout time.Duration, done func(rev int, err storeError)) {
	lost := func(err storeError) { w.after(timeout, d, func() { done(0, err) }) }
	kind := 0
	if w.faults.storeOutcomes && !w.quiet && w.oneIn(5) {
		kind = 1 + w.rnd.IntN(4)
	}
	if w.now.Before(d.host.storeCutUntil) {
		kind = 1 + w.rnd.IntN(2)
	}
	switch kind {
	case 1:
		w.after(w.between(ms, 20*ms), d, func() { done(0, notApplied) })
		return
	case 2:
		lost(unknown)
		return
	case 3: // applied, and the answer is lost
		lost(unknown)
		w.after(w.between(ms, 20*ms), nil, func() { _, _ = w.applyAs(d, x, " (answer lost)") })
		return
	case 4: // applied late
		lost(unknown)
		w.after(w.between(ms, 6*time.Second), nil, func() { _, _ = w.applyAs(d, x, " (late)") })
		return
	}
	w.after(w.between(ms, 15*ms), nil, func() {
		rev, err := w.applyAs(d, x, "")
		if w.now.Before(d.host.storeCutUntil) {
			lost(unknown)
			return
		}
		w.after(w.between(ms, 15*ms), d, func() { done(rev, err) })
	})
}

// read reads a table; ok is false if there is no answer.
func (w *succession) read(d *daemon, n int, hold time.Duration, done func(t table, ok bool)) {
	cut := func() bool { return w.now.Before(d.host.storeCutUntil) }
	fail := func() { w.after(storeTimeout, d, func() { done(table{}, false) }) }
	if cut() {
		fail()
		return
	}
	w.after(w.between(ms, 15*ms)+hold, nil, func() {
		t := w.store[n].clone()
		if cut() {
			fail()
			return
		}
		w.after(w.between(ms, 15*ms), d, func() { done(t, true) })
	})
}

// dump returns the trace of what led to the fault.
func (w *succession) dump(last time.Duration) string {
	var b strings.Builder
	for _, x := range w.trace {
		if x.at.Add(last).Before(w.now) || x.keyed && !overlap(x.keys, w.on) {
			continue
		}
		fmt.Fprintf(&b, "%9.3f %s\n", time.Duration(x.at).Seconds(), x.text)
	}
	return b.String()
}
