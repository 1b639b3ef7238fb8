package lease_test

import (
	"fmt"
	"maps"
	"slices"

	"heatherrouter/core/ident"
	"heatherrouter/core/lease"
	"heatherrouter/core/owner"
)

// snapshot is the partition's document at one revision; it never changes.
type snapshot struct {
	rev    ident.Rev
	set    lease.Set
	homes  []lease.Assignment
	shards map[ident.Shard]owner.Row
}

func (s *snapshot) clone() *snapshot {
	return &snapshot{rev: s.rev, set: s.set, homes: slices.Clone(s.homes), shards: maps.Clone(s.shards)}
}

// world is the model: daemons, backend servers, the table, and the network between them.
type world struct {
	*sim
	daemons  []*daemon
	servers  []*server
	table    *snapshot
	judge    judge
	off      [nRules]bool
	noise    float64 // share of messages lost or late
	cut      [][]bool
	cutServe [][]bool // daemon to server
	cutTable []bool
	tableOut bool
	tableBad float64 // share of table calls that are late or lose their reply
	healed   instant
	amnesia  bool // a witness has restarted
	changes  int
}

const nDaemons = 9

func newWorld(x schedule, off [nRules]bool) *world {
	w := &world{sim: newSim(x.Seed), off: off, noise: x.Noise}
	w.judge = judge{w: w, shards: make([]shardLog, x.Shards), homes: make([]homeLog, x.Servers)}
	w.cutTable = make([]bool, nDaemons)
	w.now = 10 * sec
	t := &snapshot{rev: 1, shards: map[ident.Shard]owner.Row{}}
	for i := range nDaemons {
		w.cut = append(w.cut, make([]bool, nDaemons))
		w.cutServe = append(w.cutServe, make([]bool, x.Servers))
		w.daemons = append(w.daemons, &daemon{proc: proc{sim: w.sim, ppm: w.drift(x.Skewed, i%2 == 1)}, w: w, id: i, name: daemonName(i)})
	}
	for i := range x.Servers {
		w.servers = append(w.servers, &server{proc: proc{sim: w.sim, ppm: w.drift(x.Skewed, true)}, w: w, id: i, checks: x.Checks&(1<<i) != 0})
		w.servers[i].boot()
		if w.servers[i].wall = x.Wall; x.Wall {
			w.servers[i].behind = []instant{-50 * ms, 50 * ms, w.between(-50*ms, 50*ms)}[w.IntN(3)]
		}
		t.homes = append(t.homes, lease.Assignment{}.Assign(daemonName(i), daemonName(i+3)))
	}
	for i := range x.Shards {
		t.shards[ident.Shard(i)] = owner.Row{Owner: serverName(i % x.Servers), Epoch: 1}
	}
	t.set = lease.Set{Rev: 1, Current: []ident.Daemon{"0", "2", "4", "6", "8"}}
	if x.Apart {
		t.set.Current = []ident.Daemon{"4", "5", "6", "7", "8"}
	}
	w.table = t
	for _, d := range w.daemons {
		d.boot()
		// The witnesses have been up for long.
		d.witness = lease.NewWitness(d.name, w.witnessTerms(), d.clock().Add(-10e9))
		d.serve(t)
	}
	return w
}

// drift returns how fast a clock runs: often at one of the limits of 1 %.
func (w *world) drift(skewed, slow bool) int64 {
	switch {
	case skewed && slow:
		return -10_000
	case skewed:
		return 10_000
	}
	return []int64{-10_000, 10_000, 0, w.Int64N(20_000) - 10_000}[w.IntN(4)]
}

func (w *world) witnessTerms() lease.Terms {
	t := lease.DefaultTerms()
	if w.off[lapseDrift] {
		t.Drift, t.Margin = 0, 0
	}
	return t
}

func (w *world) holderTerms() lease.Terms {
	t := lease.DefaultTerms()
	if w.off[skewAllowed] {
		t.Skew = 0
	}
	return t
}

func daemonName(i int) ident.Daemon { return ident.Daemon(fmt.Sprint(i)) }

func serverName(i int) ident.Server { return ident.ServerID("svc", fmt.Sprint(i)) }

// byName returns the daemon, or nil when there is none.
func (w *world) byName(d ident.Daemon) *daemon {
	if len(d) != 1 {
		return nil
	}
	return w.daemons[d[0]-'0']
}

func serverIndex(s ident.Server) int { return int(s[len(s)-1] - '0') }

// delay returns how long a message takes, and whether it arrives.
func (w *world) delay() (instant, bool) {
	d := w.between(ms/5, 2*ms)
	if w.noise == 0 || !w.chance(w.noise) {
		return d, true
	}
	switch w.IntN(4) {
	case 0:
		return 0, false
	case 1:
		return w.between(100*ms, 4*sec), true
	}
	return w.between(2*ms, 100*ms), true
}

// send carries a message between daemons; f runs in the receiver's life at that time.
func (w *world) send(from, to *daemon, f func()) {
	d, ok := w.delay()
	if !ok || w.cut[from.id][to.id] {
		return
	}
	w.after(d, func() { to.do(to.life, f) })
}

// reply carries a message to the life of the daemon that asked.
func (w *world) reply(from, to *daemon, life int, f func()) {
	d, ok := w.delay()
	if !ok || w.cut[from.id][to.id] {
		return
	}
	w.after(d, func() { to.do(life, f) })
}

// call carries a request to a backend server and its answer back.
func (w *world) call(d *daemon, s *server, serve func(answer func(func()))) {
	t, ok := w.delay()
	if !ok || w.cutServe[d.id][s.id] {
		return
	}
	life := d.life
	answer := func(f func()) {
		if t, ok := w.delay(); ok && !w.cutServe[d.id][s.id] {
			w.after(t, func() { d.do(life, f) })
		}
	}
	w.after(t, func() { s.do(s.life, func() { serve(answer) }) })
}

// query runs f at the table and then g back at the daemon, each or both of which may never happen or happen late.
func (w *world) query(d *daemon, f func(), g func()) {
	t := w.between(ms, 5*ms)
	if w.chance(w.tableBad) {
		t = w.between(5*ms, 3*sec)
	}
	life, cut := d.life, w.cutTable[d.id]
	w.after(t, func() {
		if w.tableOut || cut {
			return
		}
		f()
		if w.chance(w.tableBad) {
			return
		}
		w.after(w.between(ms/2, 3*ms), func() { d.do(life, g) })
	})
}

func (w *world) read(d *daemon, f func(*snapshot)) {
	var s *snapshot
	w.query(d, func() { s = w.table }, func() { f(s) })
}

// commit writes what the edit makes of the snapshot, if the table still is at that revision when the write arrives.
func (w *world) commit(d *daemon, base *snapshot, edit func(*snapshot)) {
	n := base.clone()
	edit(n)
	var done *snapshot
	w.query(d, func() {
		if w.table.rev != base.rev && !w.off[compareAndSet] {
			return
		}
		n.rev = w.table.rev + 1
		if n.set.Rev != base.set.Rev {
			n.set.Rev = n.rev
		}
		w.table, done = n, n
		w.changes++
	}, func() {
		if done != nil {
			d.install(done)
		}
	})
}

// suspects is a failure detector that knows what can't be reached, but nothing of what is slow.
func (w *world) suspects(d *daemon, n ident.Daemon) bool {
	x := w.byName(n)
	return x == nil || !x.alive || x.frozen() || w.cut[d.id][x.id] || w.cut[x.id][d.id]
}

// heal ends all faults; daemons that are lost for good stay away.
func (w *world) heal(lost int) {
	w.healed = w.now
	w.noise, w.tableBad, w.tableOut = 0, 0, false
	w.cutTable = make([]bool, nDaemons)
	for i, d := range w.daemons {
		clear(w.cut[i])
		clear(w.cutServe[i])
		d.thaw, d.jumpy = w.now, w.now
		d.resume()
		switch {
		case d.alive:
		case lost > 0:
			lost--
		default:
			d.boot()
		}
	}
	for _, s := range w.servers {
		s.thaw = w.now
		s.resume()
		if !s.alive {
			s.boot()
		}
	}
}
