package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"heatherrouter/io/clock"
	"heatherrouter/io/feed"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// announceRetryDelay is the mean delay between attempts to write the daemon's row, with jitter of half of it either way. The
// rows of all daemons are in one partition of the store, and hundreds of daemons that start together exceed its write rate.
const announceRetryDelay = 500 * time.Millisecond

// announce writes the daemon's row, by which peers find it, and writes it again if it was deleted, or replaced by that of an earlier
// incarnation: the coordinator deletes the rows of daemons that it has had no contact with for some time, and the store may carry out
// the write of an earlier incarnation late.
func (n *Node) announce(c context.Context) error {
	s := n.o.Settings
	v, err := proto.Marshal(&wire.DaemonRow{
		Domain: string(s.Domain), Peer: s.Peer.String(), Incarnation: uint64(n.incarnation), Fingerprint: n.id.fingerprint[:],
		Capacity: uint32(max(0, s.Capacity)), //nolint:gosec // thousandths of a host's cores
	})
	if err != nil {
		return trace.Wrap(err)
	}
	clock.Sleep(c, n.announceDelay(c))
	for c.Err() == nil {
		if err := n.writeRow(c, v); err != nil {
			n.o.Log.Warn().Err(err).Msg("daemon not announced")
			clock.Sleep(c, announceRetryDelay/2+rand.N(announceRetryDelay))
			continue
		}
		n.waitUntilRowLost(c)
	}
	return nil
}

// writeRow writes the daemon's row in place of the one that the daemon knows. The condition keeps a write that is carried out late from
// replacing the row of a later incarnation.
func (n *Node) writeRow(c context.Context, value []byte) error {
	key := feed.DaemonRow(n.o.Settings.Name)
	known, _ := n.feed.Row(key)
	rev, err := n.o.Platform.Store.Commit(c, store.Txn{
		Expect: []store.Expect{{Key: key, Rev: known.Rev}}, Put: []store.Row{{Key: key, Value: value}},
	})
	if errors.Is(err, store.ErrConflict) {
		if err := n.feed.ReadControl(c); err != nil {
			return err
		}
		known, _ = n.feed.Row(key)
		if string(known.Value) != string(value) {
			return trace.Wrap(err, "another row of the daemon is in the store")
		}
		rev, err = known.Rev, nil // written by an earlier call that had no answer
	}
	if err != nil {
		return err
	}
	n.feed.SetAnnounced(rev)
	n.feed.ApplyWritten([]store.Row{{Key: key, Value: value, Rev: rev}})
	return nil
}

// announceDelay returns how long the daemon waits before it first writes its row. Without the delay, when a whole site
// restarts, the transaction of the new coordinator would queue behind the rows of all daemons. Voters write at once, and the others spread
// their writes over a time that grows with the site.
func (n *Node) announceDelay(c context.Context) time.Duration {
	deadline := time.Now().Add(controlLoadTimeout)
	for !n.feed.ControlLoaded() && time.Now().Before(deadline) && c.Err() == nil {
		clock.Sleep(c, controlLoadTimeout/20)
	}
	s := n.feed.Snapshot()
	switch {
	case slices.Contains(s.Voters, n.o.Settings.Name):
		return 0
	case s.Coordinator.Term == 0:
		return rand.N(firstStartSpread)
	default:
		return rand.N(time.Duration(max(1, len(s.Daemons))) * announceSpreadPerDaemon)
	}
}

const (
	controlLoadTimeout      = 400 * time.Millisecond // longest wait for the control table at the start
	firstStartSpread        = 400 * time.Millisecond // at the first start of a site, whose size is unknown
	announceSpreadPerDaemon = 3 * time.Millisecond   // multiplied by the number of daemons of the site
)

// waitUntilRowLost returns when the daemon's row is deleted or is that of an earlier incarnation, or when the context ends.
func (n *Node) waitUntilRowLost(c context.Context) {
	for c.Err() == nil {
		changed := n.feed.Changed()
		switch row, ok := n.feed.Row(feed.DaemonRow(n.o.Settings.Name)); {
		case n.leaving.Load():
		case !ok:
			n.o.Log.Warn().Msg("daemon's row was deleted, writing it again")
			return
		case n.isOfEarlierIncarnation(row):
			n.o.Log.Warn().Uint64("rev", uint64(row.Rev)).Msg("daemon's row was replaced by an older one, writing it again")
			return
		}
		select {
		case <-changed:
		case <-c.Done():
		}
	}
}

// isOfEarlierIncarnation reports whether the daemon's row is not that of this incarnation or a later one.
func (n *Node) isOfEarlierIncarnation(row store.Row) bool {
	x := &wire.DaemonRow{}
	return proto.Unmarshal(row.Value, x) != nil || x.GetIncarnation() < uint64(n.incarnation)
}
