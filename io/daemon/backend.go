package daemon

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"heatherrouter/core/check"
	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
	"heatherrouter/io/admin"
	"heatherrouter/io/table"
	"heatherrouter/io/wire"
)

// inForceLimit is for asking one peer which revisions it holds.
const inForceLimit = time.Second

// configDocs hands the publisher the documents, with the errors that it tells apart.
type configDocs struct{ d *Daemon }

// Get implements publ.Docs.
func (c configDocs) Get(n ident.Doc) *docs.Doc {
	if x := c.d.store.Get(n); x != nil {
		return x
	}
	return docs.New(n)
}

// Commit implements publ.Docs.
func (c configDocs) Commit(x context.Context, n ident.Doc, from ident.Rev, t ident.Txn, l []docs.Change) (ident.Rev, error) {
	rev, err := c.d.store.Commit(x, n, from, t, l)
	if err == nil {
		c.d.store.Confirm(n, rev)
		return rev, nil
	}
	var conflict *table.ConflictError
	var out *table.UnavailableError
	var many *table.TooManyError
	switch {
	case errors.As(err, &many), trace.IsBadParameter(err):
		return 0, check.Findings{{Message: err.Error()}} // certainly nothing was written
	case errors.As(err, &conflict):
		// The copies here are behind what somebody else committed; bring them up so that the operator sees it.
		_ = c.d.store.Refresh(x, n)
		return 0, &admin.ConflictError{Base: from, Current: conflict.Found}
	case errors.As(err, &out):
		return 0, &admin.UnavailableError{RetryAfter: time.Second, Cause: err.Error()}
	}
	return 0, &admin.UnknownError{Txn: t, Cause: err.Error()}
}

// HasDaemon implements publ.Hosts.
func (d *Daemon) HasDaemon(n ident.Daemon) bool {
	_, ok := d.members.Addr(n)
	return ok
}

// HasDomain implements publ.Hosts.
func (d *Daemon) HasDomain(n ident.Domain) bool {
	for _, x := range d.members.Daemons() {
		if x.Domain == n {
			return true
		}
	}
	return false
}

// Ready implements admin.Backend.
func (d *Daemon) Ready() (ok bool, reason string) {
	switch {
	case !d.running.Load():
		return false, "starting"
	case d.leaving.Load():
		return false, "leaving"
	case d.store.Get(ident.ConfigDoc) == nil:
		return false, "no-configuration"
	}
	return true, ""
}

// ConfigRev implements admin.Backend.
func (d *Daemon) ConfigRev() ident.Rev {
	return d.view.Get().Config.Rev
}

// Publish implements admin.Backend.
func (d *Daemon) Publish(c context.Context, p admin.Publish) (admin.Published, error) {
	a, err := d.publ.Publish(c, p)
	d.audit("publish", p.By, a.Rev, err)
	return a, err
}

// Drain implements admin.Backend.
func (d *Daemon) Drain(c context.Context, x admin.Drain) (admin.Drained, error) {
	a, err := d.publ.Drain(c, x)
	d.audit("drain "+string(x.Kind)+" "+x.Name, x.By, a.Rev, err)
	return a, err
}

// Restore implements admin.Backend.
func (d *Daemon) Restore(c context.Context, x admin.Drain) (admin.Drained, error) {
	a, err := d.publ.Restore(c, x)
	d.audit("restore "+string(x.Kind)+" "+x.Name, x.By, a.Rev, err)
	return a, err
}

// audit logs what an operator did.
func (d *Daemon) audit(what, by string, r ident.Rev, err error) {
	d.log.Info().Str("call", what).Str("by", by).Uint64("rev", uint64(r)).Err(err).Msg("operator")
}

// InForce implements admin.Backend: it asks every daemon that was heard of lately.
func (d *Daemon) InForce(r ident.Rev) admin.InForce {
	out := admin.InForce{Rev: r}
	for n, rev := range d.configRevs() {
		if rev >= r {
			out.Have = append(out.Have, n)
		} else {
			out.Missing = append(out.Missing, n)
		}
	}
	slices.Sort(out.Have)
	slices.Sort(out.Missing)
	out.Everyone = len(out.Missing) == 0
	return out
}

// configRevs asks all daemons at once which revision of the configuration they hold; 0 for one that doesn't answer.
func (d *Daemon) configRevs() map[ident.Daemon]ident.Rev {
	l := d.members.Random(1 << 20)
	var mu sync.Mutex
	m := map[ident.Daemon]ident.Rev{d.settings.Name: d.ConfigRev()}
	var w sync.WaitGroup
	for _, p := range l {
		w.Go(func() {
			r := d.askRev(p)
			mu.Lock()
			defer mu.Unlock()
			m[p] = r
		})
	}
	w.Wait()
	return m
}

func (d *Daemon) askRev(p ident.Daemon) ident.Rev {
	c, cancel := context.WithTimeout(d.group.Context(), inForceLimit)
	defer cancel()
	r, err := d.peers.Call(c, p, &wire.Call{Body: &wire.Call_Pull{Pull: &wire.DocPull{
		Doc: string(ident.ConfigDoc), FromRev: ^uint64(0),
	}}})
	if err != nil {
		return 0
	}
	return ident.Rev(r.GetDelta().GetRev())
}

// Status implements admin.Backend.
func (d *Daemon) Status() admin.Status {
	s := d.settings
	ok, why := d.Ready()
	out := admin.Status{
		Daemon: s.Name, Domain: s.Domain, Region: s.Region, Version: d.version, Started: d.started, Ready: ok,
		Reason: why, ConfigRev: d.ConfigRev(), TableOK: d.store.TableOK(),
		Certs: []admin.Certificate{{File: s.Keys.Certificate, Subject: string(s.Name), Expires: d.keys.Expires()}},
	}
	homes, revs := d.homesByDaemon(), d.configRevs()
	now := d.clock.Now()
	c := d.view.Get().Config
	for _, x := range d.members.Daemons() {
		y := admin.Daemon{Name: x.Daemon, Domain: x.Domain, State: admin.StateActive, Homes: homes[x.Daemon], ConfigRev: revs[x.Daemon]}
		if a, ok := d.members.Addr(x.Daemon); ok {
			y.Address = a.String()
		}
		switch {
		case !x.Alive(now) && now.Sub(x.LastContact) > 15*time.Second:
			y.State = admin.StateDown
		case c.DaemonDrained(x.Daemon, x.Domain):
			y.State = admin.StateDrained
		case x.IsLeaving():
			y.State = admin.StateLeaving
		}
		out.Daemons = append(out.Daemons, y)
	}
	return out
}

func (d *Daemon) homesByDaemon() map[ident.Daemon]int {
	m := map[ident.Daemon]int{}
	for _, p := range d.view.Get().Parts {
		for _, r := range p.Servers {
			m[r.Home]++
		}
	}
	return m
}
