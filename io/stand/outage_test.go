package stand_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherrouter/io/fakes"
	"heatherrouter/io/stand"
)

// The table is out for long. Callers notice nothing, since all that serving needs is in memory. A daemon that starts
// meanwhile gets configuration and assignments from its peers. An operator's publish is refused, and goes through
// once the table is back.
func TestLongOutage(t *testing.T) {
	t.Parallel()
	x := newSite(t, siteOptions{daemons: 4, domains: 2, servers: 3, server: work})
	fresh := x.idlest(t)
	x.Daemons[fresh].Kill()
	settled(t, 15*time.Second, func() error { return x.hasHomes(t, fresh, 0) })
	l := x.startLoad(x.others(fresh)...)
	x.fault(t, fakes.Faults{Outage: fakes.RefuseOutage})
	l.goOn(t, 2*time.Second)
	require.NoError(t, x.Daemons[fresh].Start())
	start := time.Now()
	require.NoError(t, stand.Eventually(10*time.Second, func() error { return x.serving(fresh) }))
	t.Logf("a daemon started in the outage serves after %v", time.Since(start).Round(time.Millisecond))
	l.use(x.others()...)
	before, err := x.at(fresh).ConfigRev(t.Context())
	require.NoError(t, err)
	c, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	_, err = x.at(fresh).Publish(c, x.edit(t, before, "refused"))
	require.Error(t, err)
	l.goOn(t, 2*time.Second)
	x.fault(t, fakes.Faults{})
	after := x.publishAt(t, fresh, "taken")
	assert.Equal(t, before+1, after, "the refused publish took effect")
	x.everywhere(t, after, x.others()...)
	l.goOn(t, time.Second)
	l.checkNoFailure(t, time.Second)
}

// The table takes 1.5 s for each request while a home is lost. Its standbys don't need the table, so callers wait no
// longer than with a fast one; and an operator's publish goes through, slowly.
func TestSlowTable(t *testing.T) {
	t.Parallel()
	x := newSite(t, siteOptions{daemons: 5, domains: 3, servers: 3, server: work})
	lost := x.busiest(t)
	l := x.startLoad(x.others(lost)...)
	x.fault(t, fakes.Faults{LatencyMS: 1500})
	l.goOn(t, time.Second)
	x.Daemons[lost].Kill()
	l.goOn(t, 3*time.Second)
	r := x.publishAt(t, x.others(lost)[0], "slow")
	x.everywhere(t, r, x.others(lost)...)
	l.check(t, servedAgain)
}

// The table loses the replies of writes that took effect, while a server dies and while an operator publishes. Each
// writer finds its own transaction in the table instead of writing again: the shards move once, the publish is one
// revision.
func TestLostReplies(t *testing.T) {
	t.Parallel()
	x := newSite(t, siteOptions{daemons: 3, domains: 3, servers: 4, server: work})
	l := x.startLoad(x.others()...)
	l.goOn(t, time.Second)
	x.fault(t, fakes.Faults{LoseReplies: 3})
	go x.keyed.Servers[0].Restart(forGood, false)
	l.goOn(t, 4*time.Second)
	before, err := x.at(1).ConfigRev(t.Context())
	require.NoError(t, err)
	x.fault(t, fakes.Faults{LoseReplies: 1})
	after := x.publishAt(t, 1, "lost-reply")
	assert.Equal(t, before+1, after)
	x.everywhere(t, after, x.others()...)
	l.check(t, servedAgain)
}
