package hold

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// world plays a coordinator's table against servers that hold keys, over a network that delays, loses and holds up
// orders, with servers that carry orders out late, restart and fall silent, and coordinators that follow one another.
type world struct {
	rnd      *rand.Rand
	now      mono.Time
	terms    Terms
	table    *Table
	row      []Piece // as the store has it
	reserved Reserved
	events   []event
	servers  map[ident.Server]*simServer
	busy     map[ident.Server]mono.Time // while the orders to a server wait for one that is silent
	known    map[ident.Server]Life      // as the coordinator has heard
	silent   map[ident.Server]mono.Time // until when nothing gets through
	late     mono.Time                  // until when servers carry orders out late
	gen      int                        // of the coordinator
	writing  bool                       // the end of a transaction isn't known
	others   bool                       // the coordinator at times renews many ranges of other services as well
	calm     bool                       // nothing fails any more
	noEnds   bool                       // the rule is taken out by which an order that waited isn't sent
	fault    string                     // the first that was seen
}

type event struct {
	at mono.Time
	f  func()
}

// simServer follows the rules by which servers take grants.
type simServer struct {
	life  Life
	holds []simHold
	seen  map[Range]Fence
}

type simHold struct {
	Range
	fence Fence
	until mono.Time
}

const simStep = 10 * time.Millisecond

func newWorld(seed uint64) *world {
	w := &world{
		rnd: rand.New(rand.NewPCG(seed, 1)), now: mono.Time(time.Hour), terms: DefaultTerms(10 * time.Second),
		servers: map[ident.Server]*simServer{}, known: map[ident.Server]Life{}, silent: map[ident.Server]mono.Time{}, busy: map[ident.Server]mono.Time{},
	}
	for i := range 4 {
		w.start(ident.Server(fmt.Sprintf("s%d", i)), 1)
	}
	w.table = New(w.now, w.terms, nil, Reserved{}, w.now)
	w.commit(w.plan())
	return w
}

func (w *world) start(id ident.Server, born int64) {
	w.servers[id] = &simServer{life: Life{Server: id, Born: born}, seen: map[Range]Fence{}}
}

func (w *world) targets() []Target {
	var l []Target
	for _, id := range w.ids() {
		s := w.servers[id]
		if w.calm || w.rnd.IntN(6) > 0 { // one in six is drained at the moment
			l = append(l, Target{Life: s.life, Slots: 3, Work: time.Duration(60+w.rnd.IntN(90)) * time.Millisecond})
		}
	}
	return l
}

func (w *world) plan() []Piece {
	r := make(Rates, Keys/64)
	for range 12 {
		r[w.rnd.IntN(len(r))] = 10 * w.rnd.Float64()
	}
	l, _ := Plan(w.table.Pieces(), w.targets(), r)
	return l
}

func (w *world) commit(l []Piece) {
	w.row, w.reserved = l, w.reserve(l)
	w.table.Committed(w.now, l, w.reserved)
}

// reserve returns what the next row is to reserve.
func (w *world) reserve(l []Piece) Reserved {
	n := len(l)
	if w.others && w.rnd.IntN(3) == 0 {
		n += manyRanges
	}
	return w.table.Reserve(w.now, n)
}

// after runs f some time later.
func (w *world) after(d time.Duration, f func()) {
	w.events = append(w.events, event{at: w.now.Add(d), f: f})
}

// step lets one moment pass.
func (w *world) step() {
	w.now = w.now.Add(simStep)
	l := w.events
	w.events = nil
	for _, e := range l {
		if w.now.Before(e.at) {
			w.events = append(w.events, e)
			continue
		}
		e.f()
	}
	w.trouble()
	w.table.Reborn(w.now, func(id ident.Server) (int64, bool) {
		l, ok := w.known[id]
		return l.Born, ok
	})
	orders, _ := w.table.Orders(w.now)
	for _, o := range orders {
		w.send(o)
	}
	w.check()
}

func covered(l []Hold) int {
	n := 0
	for _, h := range l {
		if h.Server != "" {
			n += h.Len()
		}
	}
	return n
}

// trouble lets things happen at random.
func (w *world) trouble() {
	if w.calm {
		return
	}
	switch w.rnd.IntN(400) {
	case 0, 1, 2, 3:
		if l := w.plan(); len(l) > 0 && !w.writing {
			w.commit(l)
		}
	case 4:
		id := w.any()
		w.silent[id] = w.now.Add(time.Duration(w.rnd.IntN(6000)) * time.Millisecond)
	case 5:
		id := w.any()
		w.start(id, w.servers[id].life.Born+1)
		w.table.Lost(w.now, id)
		w.after(time.Duration(w.rnd.IntN(900))*time.Millisecond, func() { w.known[id] = w.servers[id].life })
	case 6:
		w.late = w.now.Add(3 * time.Second)
	case 7:
		w.takeOver()
	case 8:
		// The row is written and the answer lost; it is read again later.
		if l := w.plan(); len(l) > 0 && !w.writing {
			w.row, w.reserved = l, w.reserve(l)
			w.writing = true
			w.after(time.Duration(w.rnd.IntN(900))*time.Millisecond, w.takeOver)
		}
	}
}

// ids returns the servers in one order, so that a seed plays the same schedule each time.
func (w *world) ids() []ident.Server {
	return slices.Sorted(maps.Keys(w.servers))
}

func (w *world) any() ident.Server {
	return ident.Server(fmt.Sprintf("s%d", w.rnd.IntN(len(w.servers))))
}

// takeOver lets another coordinator go on from the row, after the orders of the last one have stopped.
func (w *world) takeOver() {
	w.gen++
	w.writing = false
	w.table = New(w.now, w.terms, w.row, w.reserved, w.now.Add(w.terms.Lapse(w.reserved.Hold)))
	w.commit(w.table.Pieces())
}

// send carries an order to its server. Orders to one server wait for each other, as on one connection.
func (w *world) send(o Order) {
	gen, table := w.gen, w.table
	life := lifeOfOrder(o)
	begin := max(w.now, w.busy[life.Server])
	done := func(r Result) {
		if gen == w.gen {
			table.Done(w.now, o, r)
		}
	}
	wait := begin.Sub(w.now)
	if _, ok := o.(Release); ok {
		wait = 0 // on connections of their own
	} else if w.now.Before(w.silent[life.Server]) && begin.Sub(w.now) < w.terms.Limit {
		w.busy[life.Server] = begin.Add(w.terms.Limit) // one that waited for longer isn't sent any more
	}
	w.after(wait+time.Duration(w.rnd.IntN(20))*time.Millisecond, func() { w.deliver(o, life, done) })
}

func lifeOfOrder(o Order) Life {
	switch x := o.(type) {
	case Grant:
		return x.To
	case Release:
		return x.From
	}
	return Life{}
}

func (w *world) deliver(o Order, life Life, done func(Result)) {
	if g, ok := o.(Grant); ok && !w.now.Before(g.Ends) && !w.noEnds {
		done(Result{Outcome: NotSent})
		return
	}
	if w.now.Before(w.silent[life.Server]) {
		w.after(w.terms.Limit/2, func() { done(Result{Outcome: Silent}) })
		return
	}
	s := w.servers[life.Server]
	if s.life != life {
		if g, ok := o.(Grant); ok && g.Renewal {
			w.table.Lost(w.now, life.Server) // over the connection of the last life it can't go
		}
		r := Result{Outcome: NotSent}
		if w.rnd.IntN(2) == 0 {
			r.Outcome = Ended // where its host says that nobody listens
		}
		w.after(simStep, func() { done(r) })
		return
	}
	arrived := w.now
	if w.now.Before(w.late) && w.rnd.IntN(2) == 0 {
		w.after(time.Duration(2000+w.rnd.IntN(6000))*time.Millisecond, func() { w.carryOut(s, o, arrived) })
		w.after(w.terms.Limit, func() { done(Result{Outcome: Silent}) })
		return
	}
	r := w.carryOut(s, o, arrived)
	if w.rnd.IntN(30) == 0 {
		r = Result{Outcome: Silent} // the answer is lost
	}
	w.after(time.Duration(w.rnd.IntN(20))*time.Millisecond, func() { done(r) })
}

// carryOut is what a server does with an order.
func (w *world) carryOut(s *simServer, o Order, arrived mono.Time) Result {
	if w.servers[s.life.Server] != s {
		return Result{Outcome: Silent} // that life has ended
	}
	switch x := o.(type) {
	case Release:
		s.see(x.Range, x.Fence)
		s.cut(x.Range, x.Fence)
		return Result{Outcome: Accepted, Handover: "h"}
	case Grant:
		if s.highest(x.Range) > x.Fence {
			return Result{Outcome: Outfenced}
		}
		w.fenced(s, x)
		s.see(x.Range, x.Fence)
		s.cut(x.Range, x.Fence)
		until := arrived.Add(x.Hold + x.Hold/50) // by a clock that runs slow
		s.holds = append(s.holds, simHold{Range: x.Range, fence: x.Fence, until: until})
		return Result{Outcome: Accepted}
	}
	return Result{Outcome: Silent}
}

func (s *simServer) see(r Range, f Fence) {
	s.seen[r] = max(s.seen[r], f)
}

func (s *simServer) highest(r Range) Fence {
	var f Fence
	for x, y := range s.seen {
		if overlap(x, r) {
			f = max(f, y)
		}
	}
	return f
}

// cut takes a range out of what is held with the fence or a lower one.
func (s *simServer) cut(r Range, f Fence) {
	var l []simHold
	for _, h := range s.holds {
		if !overlap(h.Range, r) || h.fence > f {
			l = append(l, h)
			continue
		}
		if h.First < r.First {
			x := h
			x.Last = r.First - 1
			l = append(l, x)
		}
		if h.Last > r.Last {
			x := h
			x.First = r.Last + 1
			l = append(l, x)
		}
	}
	s.holds = l
}

func overlap(a, b Range) bool {
	return a.First <= b.Last && b.First <= a.Last
}

// fenced checks that a grant's fence is above all with which others have had the keys.
func (w *world) fenced(s *simServer, g Grant) {
	if w.now.Before(g.Ends) || slices.ContainsFunc(s.holds, func(h simHold) bool { return h.Range == g.Range && h.fence == g.Fence }) {
		for id, o := range w.servers {
			if id == s.life.Server {
				continue
			}
			for _, h := range o.holds {
				if overlap(h.Range, g.Range) && h.fence >= g.Fence && w.now.Before(h.until) {
					w.found("keys %v went to %s with fence %d; %s had them with %d", g.Range, s.life.Server, g.Fence, id, h.fence)
				}
			}
		}
	}
}

func (w *world) found(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, args...)
	}
}

// check finds keys that two servers hold.
func (w *world) check() {
	type held struct {
		simHold
		by ident.Server
	}
	var l []held
	for id, s := range w.servers {
		s.holds = slices.DeleteFunc(s.holds, func(h simHold) bool { return !w.now.Before(h.until) })
		for _, h := range s.holds {
			l = append(l, held{simHold: h, by: id})
		}
	}
	slices.SortFunc(l, func(a, b held) int { return int(a.First) - int(b.First) })
	for i := range l {
		for k := i + 1; k < len(l) && l[k].First <= l[i].Last; k++ {
			if l[i].by != l[k].by {
				w.found("at %v keys %v are held by %s with fence %d and by %s with fence %d",
					w.now, l[k].Range, l[i].by, l[i].fence, l[k].by, l[k].fence)
			}
		}
	}
}

// play runs a schedule with faults, and then one without.
func (w *world) play() {
	const faulty, calm, planned = 6000, 2500, 1500 // steps
	for range faulty {
		w.step()
	}
	w.calm = true
	for i := range calm {
		if i < planned && i%50 == 0 && !w.writing {
			w.commit(w.plan())
		}
		w.step()
	}
}

// Two servers hold one key at once, as when a change of owner doesn't wait for a grant that is still on its way, is
// carried out late, or went to a server that fell silent. Random schedules of all that; after each step no two servers
// may hold a key, and once nothing fails any more all keys are served again.
func TestOneOwnerUnderRandomFaults(t *testing.T) {
	for seed := range uint64(90) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(seed)
			w.others = seed >= 60
			w.play()
			require.Empty(t, w.fault)
			require.Equal(t, Keys, covered(w.table.Holds()), "keys that are served at the end")
		})
	}
}

// A grant waits behind others for a server that is silent, and is sent when the server is heard again. Its range has gone
// to another server meanwhile, which counted on the grant's having lapsed. The schedules must show that without the end
// of an order two servers hold one key.
func TestOrdersThatWaitedAreNotSent(t *testing.T) {
	// One seed in twenty shows it. Which ones do changes with the plans, so they are played until one does.
	for seed := range uint64(160) {
		w := newWorld(seed)
		w.noEnds = true
		w.play()
		if w.fault != "" {
			t.Logf("seed %d: %s", seed, w.fault)
			return
		}
	}
	require.Fail(t, "no schedule shows that the end of orders is gone")
}
