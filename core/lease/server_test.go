package lease_test

import (
	"fmt"
	"slices"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/owner"
)

// order is one request on its way to a backend server.
type order struct {
	home      int // the daemon that sent it
	life      int // of that daemon
	epoch     ident.Epoch
	shard     ident.Shard
	owned     ident.Epoch      // of the shard
	deadline  owner.ServerTime // on the server's clock
	wall      instant          // the deadline by the wall clock, for servers that know no other
	remaining owner.ServerTime // what was left when it was sent; used only with the rule of the stamp taken out
	born      int              // life of the server that the deadline is for
}

// run is one line of a server's log while the request is at work.
type run struct {
	order
	server int
	ends   instant // its deadline
	done   bool
}

// server is a backend server. It keeps deadlines by its own clock; some refuse epochs older than the highest seen.
type server struct {
	proc
	w       *world
	id      int
	checks  bool
	wall    bool    // keeps deadlines by its wall clock
	behind  instant // its wall clock
	highest ident.Epoch
	running []*run
}

func (s *server) stamp() owner.ServerTime { return owner.ServerTime(s.clock()) }

func (s *server) boot() {
	s.begin()
	s.highest = 0
}

func (s *server) crash() {
	s.kill()
	for _, r := range s.running {
		r.done = true
	}
	s.running = nil
}

// take runs the request or refuses it; answer is called when it has ended.
func (s *server) take(o order, answer func()) {
	ends, ok := s.ends(o)
	if !ok || s.now >= ends || s.checks && o.epoch < s.highest {
		answer()
		return
	}
	s.highest = max(s.highest, o.epoch)
	r := &run{order: o, server: s.id, ends: ends}
	s.w.judge.start(r)
	s.running = append(s.running, r)
	d := s.between(ms/5, 20*ms)
	if s.chance(0.15) {
		d = s.between(20*ms, 1500*ms)
	}
	s.finish(r, min(s.now+d, r.ends), answer)
}

// ends returns when the request's deadline is, and false when the deadline is another life's.
func (s *server) ends(o order) (instant, bool) {
	switch {
	case s.w.off[stampTime]:
		return s.when(mono.Time(s.stamp() + o.remaining)), true
	case s.wall:
		return o.wall + s.behind, true
	}
	return s.when(mono.Time(o.deadline)), o.born == s.life || s.w.off[stampLife]
}

// finish ends the run at the time; a frozen server works on after the thaw, but never past the deadline.
func (s *server) finish(r *run, at instant, answer func()) {
	life := s.life
	s.at(at, func() {
		if r.done {
			return
		}
		if s.frozen() && s.now < r.ends {
			s.finish(r, min(s.thaw, r.ends), answer)
			return
		}
		r.done = true
		s.running = slices.DeleteFunc(s.running, func(x *run) bool { return x == r })
		s.do(life, answer)
	})
}

// judge reads the servers' logs and nothing else.
type judge struct {
	w      *world
	shards []shardLog
	homes  []homeLog
	fault  string
	runs   int
}

type shardLog struct {
	epoch ident.Epoch
	last  instant // start of the last run
	first instant // start of the first run after the faults
}

type homeLog struct {
	epoch      ident.Epoch
	home, life int
}

func (j *judge) start(r *run) {
	j.runs++
	for _, s := range j.w.servers {
		for _, x := range s.running {
			if x.shard == r.shard && s.id != r.server {
				j.failf("shard %d runs on server %d epoch %d and on server %d epoch %d",
					r.shard, s.id, x.owned, r.server, r.owned)
			}
			if s.id == r.server && (x.home != r.home || x.life != r.life) {
				j.failf("server %d runs for home %d epoch %d and home %d epoch %d", s.id, x.home, x.epoch, r.home, r.epoch)
			}
		}
	}
	l := &j.shards[r.shard]
	if r.owned < l.epoch {
		j.failf("shard %d went back from epoch %d to %d on server %d", r.shard, l.epoch, r.owned, r.server)
	}
	l.epoch, l.last = max(l.epoch, r.owned), j.w.now
	if j.w.healed > 0 && l.first == 0 {
		l.first = j.w.now
	}
	h := &j.homes[r.server]
	if r.epoch < h.epoch && (h.home != r.home || h.life != r.life) && !j.forgotten(r.server) {
		j.failf("server %d went back from home %d epoch %d to home %d epoch %d", r.server, h.home, h.epoch, r.home, r.epoch)
	}
	if r.epoch == h.epoch && h.home != r.home {
		j.failf("server %d took epoch %d from home %d and from home %d", r.server, r.epoch, h.home, r.home)
	}
	if r.epoch >= h.epoch {
		*h = homeLog{epoch: r.epoch, home: r.home, life: r.life}
	}
}

// forgotten reports whether nothing is left that could tell of the highest epoch of a server: a standby took it over,
// no row tells of that yet, and a witness restarted since. Then the home of the row may have the server back once all
// leases have lapsed: one home at a moment, but not one epoch after the other. Memory alone can't do better.
func (j *judge) forgotten(server int) bool {
	return j.homes[server].epoch > j.w.table.homes[server].Epoch && j.w.amnesia
}

func (j *judge) failf(format string, args ...any) {
	if j.fault == "" {
		j.fault = fmt.Sprintf("at %v: ", j.w.now/ms) + fmt.Sprintf(format, args...)
	}
}
