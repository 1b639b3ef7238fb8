package paths

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"heatherrouter/core/crash"
	"heatherrouter/core/ident"
	"heatherrouter/core/reach"
	"heatherrouter/core/site"
	"heatherrouter/io/wire"
)

// Caller sends calls to other daemons.
type Caller interface {
	Call(c context.Context, to ident.Daemon, m *wire.Call) (*wire.Reply, error)
}

const (
	// witnesses is the number of other daemons that are asked whether they reach a server, and controls the number of other servers
	// of its service that all connect to as well.
	witnesses = 3
	controls  = 2

	// observeTimeout bounds the answers of other daemons.
	observeTimeout = 350 * time.Millisecond
)

// Observe connects to a server and to others of its service, and has some other daemons do the same. It returns what they saw and the
// number of the other servers.
func (t *Tracker) Observe(c context.Context, peers Caller, self ident.Daemon, x *site.Server) ([]crash.Observation, int) {
	c, cancel := context.WithTimeout(c, observeTimeout)
	defer cancel()
	s := t.o.View.Snapshot()
	others := reach.Others(s, x, controls, rand.IntN)
	ids := append([]ident.Server{x.ID}, others...)
	var w sync.WaitGroup
	var mu sync.Mutex
	var l []crash.Observation
	add := func(reached []ident.Server) {
		mu.Lock()
		defer mu.Unlock()
		o := crash.Observation{Reached: slices.Contains(reached, x.ID)}
		o.ReachedOthers = len(reached) > 1 || len(reached) == 1 && !o.Reached
		l = append(l, o)
	}
	for _, d := range reach.Witnesses(s, self, witnesses, rand.IntN) {
		w.Go(func() {
			if r, err := AskPeer(c, peers, d, ids); err == nil {
				add(r)
			}
		})
	}
	add(t.Check(c, ids))
	w.Wait()
	return l, len(others)
}

// AskPeer asks another daemon which of the servers accept a connection from it.
func AskPeer(c context.Context, peers Caller, d ident.Daemon, ids []ident.Server) ([]ident.Server, error) {
	m := &wire.ReachAsk{}
	for _, id := range ids {
		m.Servers = append(m.Servers, string(id))
	}
	r, err := peers.Call(c, d, &wire.Call{Body: &wire.Call_Reach{Reach: m}})
	if err != nil {
		return nil, err
	}
	if r.GetReach().GetLeaving() {
		return nil, errLeaving
	}
	var l []ident.Server
	for _, id := range r.GetReach().GetReached() {
		l = append(l, ident.Server(id))
	}
	return l, nil
}

var errLeaving = errors.New("daemon is about to stop")
