package elect

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/site"
)

func spreadDaemons(daemons, domains int) map[ident.Daemon]*site.Daemon {
	m := map[ident.Daemon]*site.Daemon{}
	for i := range daemons {
		d := ident.Daemon(fmt.Sprintf("d%03d", i))
		m[d] = &site.Daemon{Name: d, Domain: ident.Domain(fmt.Sprint(i % domains)), Capacity: 160}
	}
	return m
}

// Guards against a takeover whose transaction is too large for the store, and against the loss of one domain that
// removes the majority.
func TestVotersAreFewAndSpread(t *testing.T) {
	for _, n := range []int{1, 2, 12, 30, 100, 300, 820} {
		m := spreadDaemons(n, 6)
		l := Voters("d000", m)
		require.Len(t, l, min(n, MaxVoters))
		require.Contains(t, l, ident.Daemon("d000"))
		require.True(t, slices.IsSorted(l))
		if n < MaxVoters {
			continue
		}
		for lost := range 6 {
			left := slices.DeleteFunc(slices.Clone(l), func(d ident.Daemon) bool { return m[d].Domain == ident.Domain(fmt.Sprint(lost)) })
			require.True(t, IsQuorum(len(left), len(l)), "domain %d of %d daemons lost", lost, n)
		}
	}
}

// Guards against voters that are replaced on each change of the site, since each replacement is a transaction.
func TestReplaceVotersKeepsPresentVoters(t *testing.T) {
	m := spreadDaemons(300, 5)
	l := Voters("d000", m)
	for d := range maps.Clone(m) {
		if !slices.Contains(l, d) && len(m) > 200 {
			delete(m, d)
		}
	}
	same, changed := ReplaceVoters("d000", l, m)
	require.False(t, changed)
	require.Equal(t, l, same)
	gone := l[3]
	delete(m, gone)
	next, changed := ReplaceVoters("d000", l, m)
	require.True(t, changed)
	require.Len(t, next, MaxVoters)
	require.NotContains(t, next, gone)
	kept := 0
	for _, d := range next {
		if slices.Contains(l, d) {
			kept++
		}
	}
	require.Equal(t, MaxVoters-1, kept)
}

// Guards against hundreds of daemons that all send requests to all others at once after the loss of the coordinator.
func TestOnlyVotersRequestWithdrawals(t *testing.T) {
	m := spreadDaemons(300, 5)
	s := &site.Snapshot{Daemons: m, Coordinator: site.Coordinator{Daemon: "d000", Term: 1}, Voters: Voters("d000", m)}
	asking, late := 0, map[time.Duration]int{}
	for d := range m {
		x := State{Self: d, Snapshot: s, SinceContact: 6 * time.Second, SinceLoaded: time.Hour}
		if _, ok := x.Decide().(RequestWithdrawals); ok {
			asking++
		}
		late[rankDelay(x.rank())]++
	}
	require.LessOrEqual(t, asking, MaxVoters)
	require.Greater(t, asking, MaxVoters/2)
	for at, n := range late {
		require.LessOrEqual(t, n, 2, "daemons that take over at %v", at)
	}
}

// voterRow is the coordinator's row in the store.
type voterRow struct {
	rev    int
	voters []ident.Daemon
	taken  bool
}

// replacement simulates a coordinator that replaces its voters while another daemon collects withdrawals.
type replacement struct {
	r       *rand.Rand
	names   []ident.Daemon
	daemons map[ident.Daemon]*simDaemon
	support Support

	row         voterRow
	known       voterRow       // last row known to the coordinator
	proposed    []ident.Daemon // sent to the store, result unknown
	withdrawals map[ident.Daemon]bool
	read        voterRow // last row read by the candidate
}

func newReplacement(seed uint64) *replacement {
	p := &replacement{r: rand.New(rand.NewPCG(seed, 11)), daemons: map[ident.Daemon]*simDaemon{}, withdrawals: map[ident.Daemon]bool{}}
	n := 6 + p.r.IntN(6)
	for i := range n {
		d := ident.Daemon(fmt.Sprint(i))
		p.names = append(p.names, d)
		p.daemons[d] = &simDaemon{offset: time.Duration(p.r.IntN(1000)) * time.Second, rate: 0.999 + 0.002*p.r.Float64()}
	}
	p.row = voterRow{rev: 1, voters: p.draw()}
	p.known, p.read = p.row, p.row
	return p
}

// draw returns the coordinator and two to four random other daemons.
func (p *replacement) draw() []ident.Daemon {
	l := []ident.Daemon{"0"}
	for _, i := range p.r.Perm(len(p.names) - 1)[:2+p.r.IntN(3)] {
		l = append(l, p.names[i+1])
	}
	return l
}

// promise delivers answers of the coordinator to some of the reachable daemons.
func (p *replacement) promise(now time.Duration, reachable []ident.Daemon) {
	for _, n := range reachable {
		d, sent := p.daemons[n], now-time.Duration(p.r.IntN(300))*time.Millisecond
		if p.r.IntN(10) == 0 && d.promise.Renew(d.clock(now), 1, promiseDuration) {
			p.support.Confirm(n, sent, promiseDuration*99/100)
		}
	}
}

// replace performs one step of a replacement at random: the coordinator proposes new voters, the store writes them if
// the row is as expected, or the coordinator learns of the result.
func (p *replacement) replace() {
	switch {
	case p.proposed == nil && p.r.IntN(40) == 0:
		p.proposed = p.draw()
	case p.proposed != nil && p.row.rev == p.known.rev && !p.row.taken && p.r.IntN(20) == 0:
		p.row = voterRow{rev: p.row.rev + 1, voters: p.proposed}
	case p.row.rev > p.known.rev && !p.row.taken && p.r.IntN(20) == 0:
		p.known, p.proposed = p.row, nil
	}
}

// takeOver performs one step of the candidate: it reads the row at times, collects a withdrawal, and takes over once
// it has a quorum of the voters it has read.
func (p *replacement) takeOver(now time.Duration) {
	if p.r.IntN(20) == 0 {
		p.read = p.row
	}
	n := p.names[1+p.r.IntN(len(p.names)-1)]
	if d := p.daemons[n]; d.promise.Withdraw(d.clock(now), 1) {
		p.withdrawals[n] = true
	}
	withdrawn := 0
	for _, v := range p.read.voters {
		if p.withdrawals[v] {
			withdrawn++
		}
	}
	if IsQuorum(withdrawn, len(p.read.voters)) && p.read.rev == p.row.rev {
		p.row.taken = true
	}
}

// Guards against two coordinators at once when voters are replaced while another daemon takes over.
func TestOneCoordinatorWhileVotersAreReplaced(t *testing.T) {
	taken := 0
	for seed := range uint64(600) {
		p := newReplacement(seed)
		reachable := slices.Clone(p.names[1:])
		for now := 10 * time.Second; now < 25*time.Second; now += 20 * time.Millisecond {
			if p.r.IntN(80) == 0 { // a different set becomes unreachable
				p.r.Shuffle(len(reachable), func(i, j int) { reachable[i], reachable[j] = reachable[j], reachable[i] })
			}
			p.promise(now, reachable[:len(reachable)/2])
			p.replace()
			p.takeOver(now)
			if p.row.taken {
				taken++
				require.False(t, p.support.HasQuorum(now, "0", p.known.voters, p.proposed), "seed %d at %v", seed, now)
			}
		}
	}
	require.Positive(t, taken)
}

// Guards against grants that expire everywhere before a lost coordinator of a large site is replaced.
func TestLostCoordinatorReplacedBeforeGrantsExpire(t *testing.T) {
	const grants, renewed = 3 * time.Second, 900 * time.Millisecond
	for _, n := range []int{3, 12, 82, 300, 820} {
		m := spreadDaemons(n, 6)
		s := &site.Snapshot{Daemons: m, Coordinator: site.Coordinator{Daemon: "d000", Term: 1}, Voters: Voters("d000", m)}
		var voter ident.Daemon
		for _, v := range s.Voters {
			if (&State{Self: v, Snapshot: s}).rank() == 0 {
				voter = v
			}
		}
		require.LessOrEqual(t, contactTimeout(s), grants-renewed, "%d daemons", n)
		require.LessOrEqual(t, PromiseDuration(s), grants-renewed, "%d daemons", n)
		require.IsType(t, RequestWithdrawals{}, (&State{Self: voter, Snapshot: s, SinceContact: grants - renewed, SinceLoaded: time.Hour}).Decide())
	}
}
