package source

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/elect"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
)

// The model simulates the daemons of a site in steps of virtual time. Each polls its peers and the store as its Tracker
// decides, while configurations change, daemons crash, pause and return, and other daemons become the coordinator.
const (
	modelStep      = 5 * time.Millisecond
	modelSpan      = 40 * time.Second
	undisturbedFor = 3 * time.Second // only daemons undisturbed for this long are checked
	maxRetryGap    = 1600 * time.Millisecond
)

const (
	configuration = iota
	control
	modelTables
)

// modelNode is one daemon.
type modelNode struct {
	name    ident.Daemon
	tracker *Tracker

	downUntil    mono.Time // end of a crash
	pausedUntil  mono.Time // end of a pause
	disturbed    mono.Time // when the last crash or pause ends
	refusedUntil mono.Time // until when the store refuses its polls

	rev  [modelTables]int
	asOf [modelTables]mono.Time

	call     *Call
	calledAt mono.Time
	resumeAt mono.Time

	requestedAt [modelTables]mono.Time
	answerAt    [modelTables]mono.Time // when the store answers without changes; 0 if no poll is pending
	pollAt      [modelTables]mono.Time // when to call StorePollAt again
	retryGap    [modelTables]time.Duration
}

func (n *modelNode) up(now mono.Time) bool { return now >= n.downUntil && now >= n.pausedUntil }

// pollNow makes the daemon call StorePollAt in the next step for all tables, as after each change.
func (n *modelNode) pollNow() { n.pollAt = [modelTables]mono.Time{} }

func (n *modelNode) age(now mono.Time) time.Duration {
	return now.Sub(min(n.asOf[configuration], n.asOf[control]))
}

// modelSite simulates the store and all daemons.
type modelSite struct {
	t          *testing.T
	rng        *rand.Rand
	now        mono.Time
	nodes      []*modelNode
	byName     map[ident.Daemon]*modelNode
	snaps      []*site.Snapshot // by term
	rev        [modelTables]int // revisions in the store: configuration versions, coordinator terms
	acked      []ackedVersion
	takeoverAt mono.Time // when the next coordinator takes over
	voters     []ident.Daemon
	bound      time.Duration

	unstableUntil mono.Time // end of refusals by the store, plus undisturbedFor
}

// ackedVersion is when a version was acknowledged, and by when connected daemons must have it.
type ackedVersion struct{ at, due mono.Time }

func newModelSite(t *testing.T, rng *rand.Rand, daemons int, bound time.Duration) *modelSite {
	t.Helper()
	m := &modelSite{t: t, rng: rng, bound: bound, byName: map[ident.Daemon]*modelNode{}, now: mono.Time(time.Hour)}
	known := map[ident.Daemon]*site.Daemon{}
	for i := range daemons {
		d := ident.Daemon(fmt.Sprint("d", i))
		known[d] = &site.Daemon{Name: d, Domain: ident.Domain(fmt.Sprint(i % 4)), Incarnation: 1}
	}
	m.voters = elect.Voters("d0", known)
	m.snaps = []*site.Snapshot{{Daemons: known, Voters: m.voters, Coordinator: site.Coordinator{Daemon: "d0", Term: 1}}}
	m.acked = []ackedVersion{{at: m.now, due: m.now.Add(bound)}}
	for i := range daemons {
		n := &modelNode{name: ident.Daemon(fmt.Sprint("d", i)), disturbed: m.now}
		m.restart(n)
		n.asOf = [modelTables]mono.Time{m.now, m.now}
		m.nodes = append(m.nodes, n)
		m.byName[n.name] = n
	}
	return m
}

// restart resets the daemon to its state after a process start, when it knows only the members of the site.
func (m *modelSite) restart(n *modelNode) {
	n.tracker = New(n.name, m.rng.IntN)
	n.rev, n.asOf, n.requestedAt, n.answerAt = [modelTables]int{}, [modelTables]mono.Time{}, [modelTables]mono.Time{}, [modelTables]mono.Time{}
	n.retryGap = [modelTables]time.Duration{}
	n.call, n.resumeAt = nil, m.now
	n.pollNow()
}

func (m *modelSite) snap(n *modelNode) *site.Snapshot { return m.snaps[n.rev[control]] }

func (m *modelSite) leads(n *modelNode) bool { return m.snap(n).Coordinator.Daemon == n.name }

func (m *modelSite) leader() *modelNode { return m.byName[m.snaps[len(m.snaps)-1].Coordinator.Daemon] }

func (m *modelSite) crash(n *modelNode, d time.Duration) {
	if n.up(m.now) {
		n.downUntil, n.disturbed = m.now.Add(d), m.now.Add(d)
	}
}

func (m *modelSite) pause(n *modelNode, d time.Duration) {
	if n.up(m.now) {
		n.pausedUntil, n.disturbed = m.now.Add(d), m.now.Add(d)
	}
}

// step advances the time by modelStep and runs all daemons once.
func (m *modelSite) step() {
	m.now = m.now.Add(modelStep)
	m.elect()
	for _, n := range m.nodes {
		if n.downUntil > 0 && m.now >= n.downUntil {
			n.downUntil = 0
			m.restart(n)
		}
		if !n.up(m.now) {
			continue
		}
		for t := range modelTables {
			m.pollStore(n, t)
		}
		m.pollPeers(n)
	}
	m.check()
}

// elect makes a voter the coordinator some time after the previous one crashed or paused.
func (m *modelSite) elect() {
	if m.leader().up(m.now) {
		m.takeoverAt = 0
		return
	}
	if m.takeoverAt == 0 {
		m.takeoverAt = m.now.Add(time.Second + time.Duration(m.rng.Int64N(int64(1600*time.Millisecond))))
	}
	n := m.byName[m.voters[m.rng.IntN(len(m.voters))]]
	if m.now < m.takeoverAt || !n.up(m.now) || m.now < n.refusedUntil || n.rev[control] != m.rev[control] {
		return
	}
	x := *m.snaps[0]
	x.Coordinator = site.Coordinator{Daemon: n.name, Term: site.Term(len(m.snaps) + 1)}
	m.snaps = append(m.snaps, &x)
	m.rev[control]++
	m.learn(n, control, m.rev[control])
	m.takeoverAt = 0
}

func (m *modelSite) learn(n *modelNode, t, rev int) {
	if rev <= n.rev[t] {
		return
	}
	n.rev[t] = rev
	if t == control {
		n.tracker.CoordinatorChanged()
	}
	n.pollNow()
}

// pollStore runs the daemon's poll of the store for one table.
func (m *modelSite) pollStore(n *modelNode, t int) {
	if n.answerAt[t] > 0 {
		m.storeAnswer(n, t)
		return
	}
	if m.now < n.pollAt[t] {
		return
	}
	at := m.now
	if !m.leads(n) && n.asOf[t] > 0 {
		at = n.tracker.StorePollAt(m.now, m.snap(n), Copy{AsOf: n.asOf[t], RequestedAt: n.requestedAt[t], Control: t == control})
	}
	if n.pollAt[t] = at; at > m.now {
		return
	}
	n.requestedAt[t] = m.now
	if m.now < n.refusedUntil {
		n.retryGap[t] = min(max(2*n.retryGap[t], 50*time.Millisecond), maxRetryGap)
		n.pollAt[t] = m.now.Add(n.retryGap[t])
		return
	}
	n.retryGap[t] = 0
	n.answerAt[t] = m.now.Add(modelStep + PollWait(m.now.Sub(n.asOf[t])))
}

func (m *modelSite) storeAnswer(n *modelNode, t int) {
	if m.rev[t] > n.rev[t] || m.now >= n.answerAt[t] {
		n.answerAt[t], n.asOf[t], n.pollAt[t] = 0, m.now, m.now
		m.learn(n, t, m.rev[t])
	}
}

// pollPeers runs the daemon's polls of its peers.
func (m *modelSite) pollPeers(n *modelNode) {
	if n.call != nil {
		m.peerAnswer(n)
		return
	}
	if m.now < n.resumeAt || m.leads(n) || n.asOf[control] == 0 {
		return
	}
	x, ok := n.tracker.Next(m.now, m.snap(n))
	if !ok {
		n.tracker.NoPeers()
		n.resumeAt = m.now.Add(500 * time.Millisecond)
		return
	}
	n.call, n.calledAt = &x, m.now
}

func (m *modelSite) peerAnswer(n *modelNode) {
	x, p := *n.call, m.byName[n.call.Peer]
	unresponsive, outdated := n.tracker.CoordinatorUnresponsive(), n.tracker.CoordinatorOutdated()
	changed := p.rev[configuration] > n.rev[configuration] || p.rev[control] > n.rev[control]
	age := p.age(m.now)
	switch {
	case m.now >= x.Deadline:
		n.tracker.Failed(m.now, m.snap(n), x)
		n.call, n.resumeAt = nil, n.calledAt.Add(n.tracker.Pause(m.snap(n)))
	case p.up(m.now) && m.now > n.calledAt && (changed || age >= OutdatedAge || m.now >= n.calledAt.Add(x.Wait)):
		for t := range modelTables {
			n.asOf[t] = max(n.asOf[t], m.now.Add(-age))
			m.learn(n, t, p.rev[t])
		}
		n.call, n.resumeAt = nil, m.now
		if !n.tracker.Answered(m.now, m.snap(n), x.Peer, age) {
			n.resumeAt = n.calledAt.Add(n.tracker.Pause(m.snap(n)))
		}
	}
	if unresponsive != n.tracker.CoordinatorUnresponsive() || outdated != n.tracker.CoordinatorOutdated() {
		n.pollNow()
	}
}

// check requires that undisturbed daemons have the versions that are due in this step.
func (m *modelSite) check() {
	for v, x := range m.acked {
		if x.due > m.now || m.now.Sub(x.due) >= modelStep {
			continue
		}
		for _, n := range m.nodes {
			if n.up(m.now) && x.at.Sub(n.disturbed) >= undisturbedFor {
				require.GreaterOrEqual(m.t, n.rev[configuration], v, "%s, %v after version %d: coordinator unresponsive %v, outdated %v, relay %q, call %v, age %v",
					n.name, x.due.Sub(x.at), v, n.tracker.CoordinatorUnresponsive(), n.tracker.CoordinatorOutdated(), n.tracker.Relay(), n.call, n.age(m.now))
			}
		}
	}
}

// run executes one random schedule.
func (m *modelSite) run() {
	changeAt, disturbAt := m.now.Add(undisturbedFor), mono.Never
	for end := m.now.Add(modelSpan); m.now < end; m.step() {
		if m.now >= disturbAt {
			disturbAt = mono.Never
			m.disturb()
		}
		if m.now >= changeAt {
			m.rev[configuration]++
			m.acknowledge()
			changeAt = m.now.Add(m.between(200*time.Millisecond, 2*time.Second))
			if disturbAt == mono.Never && m.rng.IntN(3) == 0 {
				disturbAt = m.now.Add(m.between(0, 400*time.Millisecond))
			}
		}
	}
}

// acknowledge records the next version. Its bound is extended while the store refuses daemons.
func (m *modelSite) acknowledge() {
	const maxStretch = 5 * time.Second
	x := ackedVersion{at: m.now, due: m.now.Add(m.bound)}
	if m.now < m.unstableUntil {
		x.due = x.due.Add(maxStretch)
	}
	m.acked = append(m.acked, x)
}

// refuseSome makes the store refuse the coordinator and a third of the daemons for the given time.
func (m *modelSite) refuseSome(d time.Duration) {
	m.unstableUntil = m.now.Add(d + undisturbedFor)
	for _, n := range m.nodes {
		if n == m.leader() || m.rng.IntN(3) == 0 {
			n.refusedUntil = m.now.Add(d)
		}
	}
	for i := range m.acked { // versions acknowledged just before may be late as well
		if m.acked[i].due > m.now {
			m.acked[i].due = max(m.acked[i].due, m.unstableUntil.Add(m.bound))
		}
	}
}

// disturb crashes or pauses the coordinator, some of the daemons (at most a third), or most voters.
func (m *modelSite) disturb() {
	duration := m.between(500*time.Millisecond, 4*time.Second)
	affected := []*modelNode{m.leader()}
	for range m.rng.IntN(len(m.nodes) / 3) {
		affected = append(affected, m.nodes[m.rng.IntN(len(m.nodes))])
	}
	if m.rng.IntN(4) == 0 {
		for _, d := range m.voters { // few relays are left without most voters
			if m.rng.IntN(10) > 0 {
				affected = append(affected, m.byName[d])
			}
		}
	}
	if m.rng.IntN(5) == 0 {
		m.refuseSome(duration)
	}
	paused := m.rng.IntN(2) == 0
	for _, n := range affected[m.rng.IntN(2):] {
		if paused {
			m.pause(n, duration)
		} else {
			m.crash(n, duration)
		}
	}
}

func (m *modelSite) between(a, b time.Duration) time.Duration {
	return a + time.Duration(m.rng.Int64N(int64(b-a)))
}

// Guards against configuration changes that reach connected daemons late while coordinators, relays and voters fail.
func TestChangesReachConnectedDaemons(t *testing.T) {
	for _, x := range []struct {
		daemons int
		bound   time.Duration
	}{{12, 2 * time.Second}, {30, 2 * time.Second}, {72, 2500 * time.Millisecond}, {295, 2500 * time.Millisecond}} {
		t.Run(fmt.Sprint(x.daemons), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(schedules(x.daemons)) {
				newModelSite(t, rand.New(rand.NewPCG(seed, 28)), x.daemons, x.bound).run() //nolint:gosec // reproducible schedule
			}
		})
	}
}

// schedules returns how many schedules to run: fewer for larger sites, where each takes longer.
func schedules(daemons int) int { return max(20, 6000/daemons) }
