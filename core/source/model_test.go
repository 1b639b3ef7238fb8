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

// The model plays a site's daemons in steps of virtual time: each asks its peers and the store as its Tracker says, while
// configurations change, daemons are lost, stand still and come back, and others become the coordinator.
const (
	modelStep   = 5 * time.Millisecond
	modelSpan   = 40 * time.Second
	calmBefore  = 3 * time.Second // for which a daemon was undisturbed to be judged
	maxFailWait = 1600 * time.Millisecond
)

const (
	orders = iota
	control
	modelTables
)

// modelNode is one daemon.
type modelNode struct {
	name    ident.Daemon
	tracker *Tracker

	downUntil mono.Time // has lost power
	stillTil  mono.Time // stands still
	disturbed mono.Time // when one of both last ended
	refused   mono.Time // until when the store turns it away

	rev  [modelTables]int
	asOf [modelTables]mono.Time

	call     *Call
	called   mono.Time
	resumeAt mono.Time

	asked   [modelTables]mono.Time
	answer  [modelTables]mono.Time // when the store answers without news; 0 while it isn't asked
	lookAt  [modelTables]mono.Time // when StoreAt said to look again
	failGap [modelTables]time.Duration
}

func (n *modelNode) up(now mono.Time) bool { return now >= n.downUntil && now >= n.stillTil }

// wake makes the duties that ask the store look again, as each change does.
func (n *modelNode) wake() { n.lookAt = [modelTables]mono.Time{} }

func (n *modelNode) age(now mono.Time) time.Duration {
	return now.Sub(min(n.asOf[orders], n.asOf[control]))
}

// modelSite is the store and all daemons.
type modelSite struct {
	t      *testing.T
	rng    *rand.Rand
	now    mono.Time
	nodes  []*modelNode
	byName map[ident.Daemon]*modelNode
	snaps  []*site.Snapshot // by term
	rev    [modelTables]int // of the store: versions of the configuration, terms of coordinators
	acked  []ackedVersion
	nextAt mono.Time // when the next coordinator takes over
	voters []ident.Daemon
	bound  time.Duration

	unstable mono.Time // until when the store turned some daemons away, and calmBefore after that
}

// ackedVersion is when a version was acknowledged, and by when daemons in touch have to have it.
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

// restart begins a life of the daemon that knows nothing but the members of the site.
func (m *modelSite) restart(n *modelNode) {
	n.tracker = New(n.name, m.rng.IntN)
	n.rev, n.asOf, n.asked, n.answer = [modelTables]int{}, [modelTables]mono.Time{}, [modelTables]mono.Time{}, [modelTables]mono.Time{}
	n.failGap = [modelTables]time.Duration{}
	n.call, n.resumeAt = nil, m.now
	n.wake()
}

func (m *modelSite) snap(n *modelNode) *site.Snapshot { return m.snaps[n.rev[control]] }

func (m *modelSite) leads(n *modelNode) bool { return m.snap(n).Coordinator.Daemon == n.name }

func (m *modelSite) leader() *modelNode { return m.byName[m.snaps[len(m.snaps)-1].Coordinator.Daemon] }

func (m *modelSite) lose(n *modelNode, d time.Duration) {
	if n.up(m.now) {
		n.downUntil, n.disturbed = m.now.Add(d), m.now.Add(d)
	}
}

func (m *modelSite) freeze(n *modelNode, d time.Duration) {
	if n.up(m.now) {
		n.stillTil, n.disturbed = m.now.Add(d), m.now.Add(d)
	}
}

// step plays one step of all daemons.
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
			m.store(n, t)
		}
		m.follow(n)
	}
	m.judge()
}

// elect lets a voter take over some time after the coordinator was lost.
func (m *modelSite) elect() {
	if m.leader().up(m.now) {
		m.nextAt = 0
		return
	}
	if m.nextAt == 0 {
		m.nextAt = m.now.Add(time.Second + time.Duration(m.rng.Int64N(int64(1600*time.Millisecond))))
	}
	n := m.byName[m.voters[m.rng.IntN(len(m.voters))]]
	if m.now < m.nextAt || !n.up(m.now) || m.now < n.refused || n.rev[control] != m.rev[control] {
		return
	}
	x := *m.snaps[0]
	x.Coordinator = site.Coordinator{Daemon: n.name, Term: site.Term(len(m.snaps) + 1)}
	m.snaps = append(m.snaps, &x)
	m.rev[control]++
	m.learn(n, control, m.rev[control])
	m.nextAt = 0
}

func (m *modelSite) learn(n *modelNode, t, rev int) {
	if rev <= n.rev[t] {
		return
	}
	n.rev[t] = rev
	if t == control {
		n.tracker.NewCoordinator()
	}
	n.wake()
}

// store plays the duty that asks the store for a table.
func (m *modelSite) store(n *modelNode, t int) {
	if n.answer[t] > 0 {
		m.storeAnswer(n, t)
		return
	}
	if m.now < n.lookAt[t] {
		return
	}
	at := m.now
	if !m.leads(n) && n.asOf[t] > 0 {
		at = n.tracker.StoreAt(m.now, m.snap(n), Copy{AsOf: n.asOf[t], Asked: n.asked[t], Control: t == control})
	}
	if n.lookAt[t] = at; at > m.now {
		return
	}
	n.asked[t] = m.now
	if m.now < n.refused {
		n.failGap[t] = min(max(2*n.failGap[t], 50*time.Millisecond), maxFailWait)
		n.lookAt[t] = m.now.Add(n.failGap[t])
		return
	}
	n.failGap[t] = 0
	n.answer[t] = m.now.Add(modelStep + Hold(m.now.Sub(n.asOf[t])))
}

func (m *modelSite) storeAnswer(n *modelNode, t int) {
	if m.rev[t] > n.rev[t] || m.now >= n.answer[t] {
		n.answer[t], n.asOf[t], n.lookAt[t] = 0, m.now, m.now
		m.learn(n, t, m.rev[t])
	}
}

// follow plays the duty that asks peers.
func (m *modelSite) follow(n *modelNode) {
	if n.call != nil {
		m.peerAnswer(n)
		return
	}
	if m.now < n.resumeAt || m.leads(n) || n.asOf[control] == 0 {
		return
	}
	x, ok := n.tracker.Next(m.now, m.snap(n))
	if !ok {
		n.tracker.Rested()
		n.resumeAt = m.now.Add(500 * time.Millisecond)
		return
	}
	n.call, n.called = &x, m.now
}

func (m *modelSite) peerAnswer(n *modelNode) {
	x, p := *n.call, m.byName[n.call.Peer]
	silent, behind := n.tracker.Silent(), n.tracker.Behind()
	news := p.rev[orders] > n.rev[orders] || p.rev[control] > n.rev[control]
	age := p.age(m.now)
	switch {
	case m.now >= x.Until:
		n.tracker.Failed(m.now, m.snap(n), x)
		n.call, n.resumeAt = nil, n.called.Add(n.tracker.Pause(m.snap(n)))
	case p.up(m.now) && m.now > n.called && (news || age >= OldCopy || m.now >= n.called.Add(x.Wait)):
		for t := range modelTables {
			n.asOf[t] = max(n.asOf[t], m.now.Add(-age))
			m.learn(n, t, p.rev[t])
		}
		n.call, n.resumeAt = nil, m.now
		if !n.tracker.Answered(m.now, m.snap(n), x.Peer, age) {
			n.resumeAt = n.called.Add(n.tracker.Pause(m.snap(n)))
		}
	}
	if silent != n.tracker.Silent() || behind != n.tracker.Behind() {
		n.wake()
	}
}

// judge checks the versions whose bound ends now.
func (m *modelSite) judge() {
	for v, x := range m.acked {
		if x.due > m.now || m.now.Sub(x.due) >= modelStep {
			continue
		}
		for _, n := range m.nodes {
			if n.up(m.now) && x.at.Sub(n.disturbed) >= calmBefore {
				require.GreaterOrEqual(m.t, n.rev[orders], v, "%s %v after version %d: silent %v behind %v relay %q call %v age %v",
					n.name, x.due.Sub(x.at), v, n.tracker.Silent(), n.tracker.Behind(), n.tracker.Relay(), n.call, n.age(m.now))
			}
		}
	}
}

// play runs one random schedule.
func (m *modelSite) play() {
	change, loss := m.now.Add(calmBefore), mono.Never
	for end := m.now.Add(modelSpan); m.now < end; m.step() {
		if m.now >= loss {
			loss = mono.Never
			m.disturb()
		}
		if m.now >= change {
			m.rev[orders]++
			m.acknowledge()
			change = m.now.Add(m.between(200*time.Millisecond, 2*time.Second))
			if loss == mono.Never && m.rng.IntN(3) == 0 {
				loss = m.now.Add(m.between(0, 400*time.Millisecond))
			}
		}
	}
}

// acknowledge writes the next version down. A store that turns daemons away stretches the bound.
func (m *modelSite) acknowledge() {
	const maxStretch = 5 * time.Second
	x := ackedVersion{at: m.now, due: m.now.Add(m.bound)}
	if m.now < m.unstable {
		x.due = x.due.Add(maxStretch)
	}
	m.acked = append(m.acked, x)
}

// turnAway lets the store refuse the coordinator and a third of the daemons for a while.
func (m *modelSite) turnAway(d time.Duration) {
	m.unstable = m.now.Add(d + calmBefore)
	for _, n := range m.nodes {
		if n == m.leader() || m.rng.IntN(3) == 0 {
			n.refused = m.now.Add(d)
		}
	}
	for i := range m.acked { // what was written just before may be late as well
		if m.acked[i].due > m.now {
			m.acked[i].due = max(m.acked[i].due, m.unstable.Add(m.bound))
		}
	}
}

// disturb loses or stops the coordinator or some daemons, a third at most.
func (m *modelSite) disturb() {
	long := m.between(500*time.Millisecond, 4*time.Second)
	hit := []*modelNode{m.leader()}
	for range m.rng.IntN(len(m.nodes) / 3) {
		hit = append(hit, m.nodes[m.rng.IntN(len(m.nodes))])
	}
	if m.rng.IntN(4) == 0 {
		for _, d := range m.voters { // with most of them gone, few relays are left
			if m.rng.IntN(10) > 0 {
				hit = append(hit, m.byName[d])
			}
		}
	}
	if m.rng.IntN(5) == 0 {
		m.turnAway(long)
	}
	still := m.rng.IntN(2) == 0
	for _, n := range hit[m.rng.IntN(2):] {
		if still {
			m.freeze(n, long)
		} else {
			m.lose(n, long)
		}
	}
}

func (m *modelSite) between(a, b time.Duration) time.Duration {
	return a + time.Duration(m.rng.Int64N(int64(b-a)))
}

// Guards against changes that reach daemons in touch late while coordinators, relays and voters are lost.
func TestChangesReachDaemonsInTouch(t *testing.T) {
	for _, x := range []struct {
		daemons int
		bound   time.Duration
	}{{12, 2 * time.Second}, {30, 2 * time.Second}, {72, 2500 * time.Millisecond}, {295, 2500 * time.Millisecond}} {
		t.Run(fmt.Sprint(x.daemons), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(runs(x.daemons)) {
				newModelSite(t, rand.New(rand.NewPCG(seed, 28)), x.daemons, x.bound).play() //nolint:gosec // a schedule by its seed
			}
		})
	}
}

// runs is fewer schedules for larger sites, which take longer each.
func runs(daemons int) int { return max(20, 6000/daemons) }
