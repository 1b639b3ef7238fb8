package home

import (
	"context"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/owner"
	"heatherrouter/io/wire"
)

const (
	releaseEvery = 20 * time.Millisecond // between two rounds of asking while shards are on their way here
	releaseIdle  = time.Second           // between two looks while none are known to be
	releaseLimit = 300 * time.Millisecond
)

// release asks the homes of last owners for the shards that have moved to this daemon's servers.
func (s *Homes) release(c context.Context) error {
	for {
		pause := releaseIdle
		for _, h := range s.all() {
			for prev, l := range h.wants() {
				s.askRelease(c, h, prev, l)
				pause = releaseEvery
			}
		}
		select {
		case <-c.Done():
			return nil
		case <-time.After(pause):
		case <-s.moved:
		}
	}
}

// wants returns the shards to ask for, by their last owner.
func (h *Home) wants() map[ident.Server][]owner.ReleaseRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holder == nil || !h.holder.Holds(h.o.Clock.Now()) {
		return nil
	}
	m := map[ident.Server][]owner.ReleaseRequest{}
	for _, w := range h.gate.ReleaseRequests() {
		m[w.Previous] = append(m[w.Previous], w)
	}
	return m
}

// askRelease asks the daemon that holds the last owner's lease: its home, or the standby that took over.
func (s *Homes) askRelease(c context.Context, h *Home, prev ident.Server, l []owner.ReleaseRequest) {
	p := s.o.View.Get().Part(prev.Service())
	if p == nil {
		return
	}
	row, ok := p.Server(prev)
	if !ok {
		return
	}
	m := &wire.Release{Service: string(prev.Service()), Server: string(prev)}
	for _, w := range l {
		m.Rev = max(m.GetRev(), uint64(w.Rev))
		m.Shards = append(m.Shards, &wire.ShardRelease{Shard: uint32(w.Shard), Epoch: uint64(w.Epoch)})
	}
	for _, d := range []ident.Daemon{row.Home, row.Standby} {
		if d == "" {
			continue
		}
		if a := s.callRelease(c, d, m); a.GetHolder() {
			h.take(l, a)
			return
		}
	}
}

func (s *Homes) callRelease(c context.Context, d ident.Daemon, m *wire.Release) *wire.ReleaseAnswer {
	if d == s.o.Self {
		return s.Release(m)
	}
	x, cancel := context.WithTimeout(c, releaseLimit)
	defer cancel()
	r, err := s.o.Caller.Call(x, d, &wire.Call{Body: &wire.Call_Release{Release: m}})
	if err != nil {
		return nil
	}
	return r.GetRelease()
}

func (h *Home) take(l []owner.ReleaseRequest, a *wire.ReleaseAnswer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	free := map[ident.Shard]bool{}
	for _, s := range a.GetReleased() {
		free[ident.Shard(s)] = true
	}
	for _, w := range l {
		if free[w.Shard] {
			h.gate.SetReleased(w.Shard, w.Epoch)
			h.released[w.Shard] = w.Epoch
		}
	}
}

// Release answers another home that asks for shards of a server whose lease this daemon may hold.
func (s *Homes) Release(m *wire.Release) *wire.ReleaseAnswer {
	h := s.get(ident.Server(m.GetServer()))
	if h == nil {
		return &wire.ReleaseAnswer{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.o.Clock.Now()
	a := &wire.ReleaseAnswer{Holder: h.holder != nil && h.holder.Holds(now)}
	for _, x := range m.GetShards() {
		w := owner.ReleaseRequest{
			Shard: ident.Shard(x.GetShard()), Epoch: ident.Epoch(x.GetEpoch()),
			Previous: h.id, Rev: ident.Rev(m.GetRev()),
		}
		if h.gate.MayRelease(now, w) {
			a.Released = append(a.Released, x.GetShard())
		}
	}
	if a.GetHolder() && len(a.GetReleased()) < len(m.GetShards()) && h.holder.Recorded() < ident.Rev(m.GetRev()) {
		h.asked = 0 // the witnesses have yet to record the revision; don't wait for the next renewal
		s.poke()
	}
	return a
}
