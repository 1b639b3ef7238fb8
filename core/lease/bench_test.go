package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/lease"
	"heatherrouter/core/mono"
)

const (
	testServer  = ident.Server("svc/a")
	testService = ident.Service("svc")
)

var (
	oldSet = lease.Set{Rev: 1, Current: []ident.Daemon{"w1", "w2", "w3", "w4", "w5"}}
	bothOf = lease.Set{Rev: 5, Current: oldSet.Current, Next: newSet.Current}
	newSet = lease.Set{Rev: 7, Current: []ident.Daemon{"w5", "w6", "w7", "w8", "w9"}}
)

// bench steps witnesses and holders by hand; all processes read one clock, which starts at an hour.
type bench struct {
	t         *testing.T
	now       mono.Time
	terms     lease.Terms
	witnesses map[ident.Daemon]*lease.Witness
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, now: mono.Time(time.Hour), terms: lease.DefaultTerms(), witnesses: map[ident.Daemon]*lease.Witness{}}
	for _, d := range []ident.Daemon{"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9"} {
		b.witnesses[d] = lease.NewWitness(d, b.terms, 0)
		b.witnesses[d].Serve(testService, oldSet, 1)
	}
	return b
}

func (b *bench) pass(d time.Duration) { b.now = b.now.Add(d) }

// restart starts the witness anew; it reads the row from the table at once.
func (b *bench) restart(d ident.Daemon, x lease.Set) {
	b.witnesses[d] = lease.NewWitness(d, b.terms, b.now)
	b.witnesses[d].Serve(testService, x, x.Rev)
}

// client is a daemon that asks for the lease of the test server.
type client struct {
	*lease.Holder
	b    *bench
	name ident.Daemon
	set  lease.Set
}

func (b *bench) client(d ident.Daemon, e ident.Epoch, x lease.Set) *client {
	c := &client{Holder: lease.NewHolder(b.terms, testServer, e, 1), b: b, name: d, set: x}
	c.SetWitnesses(x)
	return c
}

// learn gives the client a newer row of witnesses.
func (c *client) learn(x lease.Set) {
	c.set = x
	c.SetWitnesses(x)
}

// send lets the witness answer the client's ask now, and returns the answer, which has not arrived yet.
func (c *client) send(m lease.Mode, to ident.Daemon) lease.Give {
	return c.b.witnesses[to].Ask(c.b.now, c.name, c.Ask(m, c.set.Rev))
}

// ask asks the witnesses, all of its own when none are named, and takes their answers at once.
func (c *client) ask(m lease.Mode, to ...ident.Daemon) {
	if len(to) == 0 {
		to = c.Witnesses()
	}
	for _, d := range to {
		c.Answered(c.b.now, d, c.send(m, d))
	}
}

func (c *client) holds() bool { return c.Holds(c.b.now) }

func (c *client) requireHolds(want bool) {
	c.b.t.Helper()
	require.Equal(c.b.t, want, c.holds(), "%s at epoch %d", c.name, c.Epoch())
}
