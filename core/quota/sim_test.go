package quota

import (
	"fmt"
	"math/rand/v2"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
)

var policy = Policy{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20, ReserveUnreported: true}

const (
	step          = 5 * time.Millisecond
	askInterval   = 820 * time.Millisecond // between two regular asks of a daemon
	urgentTimeout = 250 * time.Millisecond // for the answer to an urgent ask
)

// world simulates daemons that send requests of one subject, with message delay and loss, daemon crashes, partitions and
// coordinator changes.
type world struct {
	policy   Policy
	rnd      *rand.Rand
	now      mono.Time
	subject  Subject
	limit    site.Limit
	names    []ident.Daemon
	daemons  []*daemon
	ledger   *Ledger // nil while there is no coordinator
	term     site.Term
	events   []event
	loss     float64 // probability of losing a message
	mutation mutation

	sends     []mono.Time
	calls     []mono.Time // times of the callers' requests
	asks      int
	urgent    int // asks for waiting requests
	requested int // callers' requests
	refused   int
}

// mutation disables one of the rules that enforce the limit.
type mutation struct {
	ledger func(*Ledger)
	ask    func(*Ask)
}

type event struct {
	at mono.Time
	f  func()
}

type daemon struct {
	w             *world
	name          ident.Daemon
	tokens        *TokenCache
	incarnation   ident.Incarnation
	rate          float64 // requests per second
	down          bool
	isolated      bool
	next          mono.Time // time of the next regular ask
	pending       []int     // number of waits of each waiting request
	askedAt       mono.Time // time of the regular ask in flight; 0 for none
	urgentAskedAt mono.Time // time of the urgent ask in flight; 0 for none
}

func newWorld(seed uint64, daemons int, l site.Limit) *world {
	return newWorldWith(policy, seed, daemons, l)
}

func newWorldWith(p Policy, seed uint64, daemons int, l site.Limit) *world {
	w := &world{
		policy: p,
		rnd:    rand.New(rand.NewPCG(seed, 7)), now: mono.Time(time.Hour),
		subject: "creche", limit: l,
	}
	for i := range daemons {
		d := &daemon{w: w, name: ident.Daemon(fmt.Sprintf("d%d", i))}
		w.daemons, w.names = append(w.daemons, d), append(w.names, d.name)
		d.start()
	}
	w.elect()
	return w
}

func (d *daemon) start() {
	d.incarnation++
	d.down, d.pending, d.askedAt, d.urgentAskedAt = false, nil, 0, 0
	d.tokens = NewTokenCache(d.w.policy, d.incarnation, d.w.now, d.w.rnd.Float64)
	d.next = d.w.now.Add(time.Duration(d.w.rnd.IntN(300)) * time.Millisecond)
}

// elect starts a new term, after the previous coordinator has stopped.
func (w *world) elect() {
	w.term++
	w.ledger = NewLedger(w.policy, w.term)
	w.configure()
	if w.mutation.ledger != nil {
		w.mutation.ledger(w.ledger)
	}
}

func (w *world) configure() {
	if w.ledger != nil {
		w.ledger.Configure(w.now, map[Subject]site.Limit{w.subject: w.limit})
	}
}

func (w *world) after(d time.Duration, f func()) {
	w.events = append(w.events, event{at: w.now.Add(d), f: f})
}

func (w *world) run(d time.Duration) {
	for until := w.now.Add(d); w.now < until; w.now = w.now.Add(step) {
		for i := 0; i < len(w.events); i++ {
			if e := w.events[i]; e.at <= w.now {
				w.events = append(w.events[:i], w.events[i+1:]...)
				i--
				e.f()
			}
		}
		for _, d := range w.daemons {
			d.step()
		}
	}
}

func (d *daemon) step() {
	if d.down {
		return
	}
	if d.askedAt > 0 && d.w.now.Sub(d.askedAt) > askInterval+urgentTimeout || d.urgentAskedAt > 0 && d.w.now.Sub(d.urgentAskedAt) > urgentTimeout {
		d.askedAt = 0
		d.tokens.SetCoordinatorUnresponsive(d.w.now, d.isolated)
		d.retryPending()
	}
	switch {
	case len(d.pending) > 0 && d.urgentAskedAt == 0:
		d.ask(true)
	case d.askedAt == 0 && d.w.now >= d.next:
		d.ask(false)
	}
	n := 0
	for mean := d.rate * step.Seconds(); mean > 0; mean-- {
		if d.w.rnd.Float64() < mean {
			n++
		}
	}
	for range n {
		d.w.requested++
		d.w.calls = append(d.w.calls, d.w.now)
		d.request(0)
	}
}

func (d *daemon) request(waited int) {
	switch d.tokens.Take(d.w.now, d.w.subject, d.w.limit, len(d.w.daemons), waited > 0).(type) {
	case Granted:
		if d.w.rnd.Float64() < 0.05 {
			d.w.after(20*time.Millisecond, func() { d.returnToken(d.incarnation) })
			return
		}
		d.w.sends = append(d.w.sends, d.w.now)
	case Refused:
		d.w.refused++
	case Pending:
		if waited == 3 {
			d.w.refused++
			return
		}
		d.pending = append(d.pending, waited+1)
		d.tokens.AddWaiting(d.w.subject, 1)
	}
}

// returnToken returns the token of a request that wasn't run.
func (d *daemon) returnToken(incarnation ident.Incarnation) {
	if d.incarnation == incarnation && !d.down {
		d.tokens.Return(d.w.subject)
	}
}

// ask sends an Ask to the coordinator. The answer to a regular ask is delayed, as by a long poll.
func (d *daemon) ask(urgent bool) {
	w := d.w
	w.asks++
	incarnation, sentAt := d.incarnation, w.now
	var a Ask
	if urgent {
		w.urgent++
		a = d.tokens.UrgentAsk(w.now, 2*askInterval, w.term)
	} else {
		a = d.tokens.Ask(w.now, 2*askInterval, w.term)
	}
	d.next = w.now.Add(askInterval / 4)
	if urgent {
		d.urgentAskedAt = w.now
	} else {
		d.askedAt = w.now
	}
	if w.mutation.ask != nil {
		w.mutation.ask(&a)
	}
	if d.isolated || w.rnd.Float64() < w.loss {
		return
	}
	delay := func() time.Duration { return time.Duration(1+w.rnd.IntN(30)) * time.Millisecond }
	w.after(delay(), func() {
		l := w.ledger
		if l == nil || d.isolated {
			return
		}
		l.ApplyAsk(w.now, d.name, a)
		pollWait := 800 * time.Millisecond
		if urgent {
			pollWait = 0
		}
		w.after(pollWait, func() {
			if w.ledger != l || d.isolated {
				return
			}
			x := l.Grant(w.now, d.name, a, w.names)
			if w.rnd.Float64() < w.loss {
				return
			}
			w.after(delay(), func() {
				if d.incarnation == incarnation && !d.down && !d.isolated {
					d.applyAnswer(sentAt, urgent, x)
				}
			})
		})
	})
}

func (d *daemon) applyAnswer(sentAt mono.Time, urgent bool, x Answer) {
	d.tokens.ApplyAnswer(d.w.now, sentAt, x)
	if !urgent {
		d.askedAt = 0
		return
	}
	d.retryPending()
}

// retryPending retries the waiting requests.
func (d *daemon) retryPending() {
	d.urgentAskedAt = 0
	l := d.pending
	d.pending = nil
	d.tokens.AddWaiting(d.w.subject, -len(l))
	for _, n := range l {
		d.request(n)
	}
}

// maxInWindow returns the largest number of requests sent in any window.
func (w *world) maxInWindow() int {
	most, first := 0, 0
	for i, t := range w.sends {
		for t.Sub(w.sends[first]) > w.policy.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// idealRefusals returns how many requests a single token bucket at the limit would have refused.
func (w *world) idealRefusals(l site.Limit) int {
	level, last, refused := l.Burst, mono.Time(0), 0
	for _, t := range w.calls {
		level = min(l.Burst, level+l.Rate*t.Sub(last).Seconds())
		last = t
		if level < 1 {
			refused++
			continue
		}
		level--
	}
	return refused
}

func allowed(l site.Limit) int {
	return int((l.Rate*policy.Window.Seconds()+l.Burst)*(1+policy.Overshoot) + policy.Slack)
}

// schedule simulates a minute of faults under loads of up to several times the limit.
func schedule(seed uint64, l site.Limit, m mutation) *world {
	w := newWorld(seed, 12, l)
	w.loss, w.mutation = 0.03, m
	w.run(3 * time.Second)
	for range 20 {
		over := w.rnd.Float64() * 4 * l.Rate
		for _, d := range w.daemons {
			d.rate = over * w.rnd.Float64() * 2 / float64(len(w.daemons))
		}
		d := w.daemons[w.rnd.IntN(len(w.daemons))]
		switch w.rnd.IntN(5) {
		case 0:
			d.down = true
			w.after(time.Duration(200+w.rnd.IntN(2000))*time.Millisecond, d.start)
		case 1:
			n := 1 + w.rnd.IntN(4)
			for _, x := range w.daemons[:n] {
				x.isolated = true
			}
			w.after(time.Duration(500+w.rnd.IntN(6000))*time.Millisecond, func() {
				for _, x := range w.daemons[:n] {
					x.isolated = false
				}
			})
		case 2:
			w.ledger = nil
			w.after(time.Duration(300+w.rnd.IntN(1500))*time.Millisecond, func() {
				if w.ledger == nil {
					w.elect()
				}
			})
		}
		w.run(3 * time.Second)
	}
	return w
}

// takeover simulates losing the coordinator shortly after the load rises far above the limit.
func takeover(seed uint64, l site.Limit, m mutation) *world {
	w := newWorld(seed, 12, l)
	w.mutation = m
	w.run(8 * time.Second)
	for _, d := range w.daemons {
		d.rate = 6 * l.Rate / float64(len(w.daemons))
	}
	w.run(1500 * time.Millisecond)
	w.ledger = nil
	w.after(300*time.Millisecond, w.elect)
	w.run(6 * time.Second)
	return w
}

// restartAll simulates a restart of all daemons under a load of demand times the limit, and the first two seconds after it,
// without a coordinator.
func restartAll(seed uint64, daemons int, l site.Limit, demand float64) *world {
	w := newWorld(seed, daemons, l)
	w.run(8 * time.Second)
	for _, d := range w.daemons {
		d.rate = demand * l.Rate / float64(len(w.daemons))
	}
	w.run(6 * time.Second)
	w.ledger = nil
	for _, d := range w.daemons {
		d.down = true
	}
	w.run(800 * time.Millisecond)
	for _, d := range w.daemons {
		d.start()
	}
	w.requested, w.refused = 0, 0
	w.run(2 * time.Second)
	return w
}
