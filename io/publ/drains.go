package publ

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"heatherrouter/core/config"
	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
	"heatherrouter/io/admin"
	"heatherrouter/io/rowcfg"
)

// Drain takes new work from a failure domain, a backend server or a daemon.
func (p *Publisher) Drain(ctx context.Context, q admin.Drain) (admin.Drained, error) {
	return p.drain(ctx, q, true)
}

// Restore undoes a drain.
func (p *Publisher) Restore(ctx context.Context, q admin.Drain) (admin.Drained, error) {
	return p.drain(ctx, q, false)
}

// drain commits the wanted state of one target. A change by somebody else in between is no conflict, since
// the operator named the target and not a revision: the commit is made again on the newer copy.
func (p *Publisher) drain(ctx context.Context, q admin.Drain, on bool) (admin.Drained, error) {
	if err := checkOrigin(q.Txn, q.By); err != nil {
		return admin.Drained{}, trace.Wrap(err)
	}
	t, err := target(q)
	if err != nil {
		return admin.Drained{}, trace.Wrap(err)
	}
	var rev ident.Rev
	for i := 1; ; i++ {
		d, err := p.copyAt(ctx, rev)
		if err != nil {
			return admin.Drained{}, trace.Wrap(err)
		}
		a, err := p.drainOnce(ctx, d, q, t, on)
		c, conflict := errors.AsType[*admin.ConflictError](err)
		if !conflict || i == drainRuns {
			return a, trace.Wrap(err)
		}
		rev = max(c.Current, d.Rev+1)
	}
}

// drainOnce commits also when the copy already shows the wanted state: the copy may be seconds old, and the
// operator would be told "drained" of a server that somebody has just restored.
func (p *Publisher) drainOnce(ctx context.Context, d *docs.Doc, q admin.Drain, t config.Target, on bool) (admin.Drained, error) {
	was := d.Body(t.Row())
	if len(was) == 0 && !p.known(d, t) {
		return admin.Drained{}, trace.Wrap(&admin.NotFoundError{What: string(q.Kind), Name: q.Name})
	}
	x := docs.Change{Row: t.Row()}
	switch {
	case on && len(was) > 0:
		x.Body = was
	case on:
		b, err := rowcfg.EncodeDrain(config.Drain{By: q.By, Since: p.now()})
		if err != nil {
			return admin.Drained{}, trace.Wrap(err)
		}
		x.Body = b
	}
	rev, err := p.commit(ctx, d.Rev, q.Txn, []docs.Change{x})
	if err != nil {
		return admin.Drained{}, trace.Wrap(err)
	}
	// A copy that shows the row at the very revision of the commit shows a first attempt whose reply was lost.
	settled := d.Rows[t.Row()].Rev == rev
	return admin.Drained{Rev: rev, Changed: settled || (len(was) > 0) != on}, nil
}

func target(q admin.Drain) (config.Target, error) {
	switch q.Kind {
	case admin.DrainDomain:
		return config.DomainTarget{Name: ident.Domain(q.Name)}, nil
	case admin.DrainServer:
		return config.ServerTarget{Name: ident.Server(q.Name)}, nil
	case admin.DrainDaemon:
		return config.DaemonTarget{Name: ident.Daemon(q.Name)}, nil
	default:
		return nil, trace.BadParameter("kind is %q, must be domain, server or daemon", q.Kind)
	}
}

// known reports whether there is such a target: a misspelt name would be drained without any effect, and the
// operator would switch off a zone that still gets work.
func (p *Publisher) known(d *docs.Doc, t config.Target) bool {
	c, _ := rowcfg.Read(d)
	switch t := t.(type) {
	case config.ServerTarget:
		return c.Find(t.Name) != nil
	case config.DaemonTarget:
		return p.hosts.HasDaemon(t.Name)
	case config.DomainTarget:
		return p.hosts.HasDomain(t.Name) || c.HasDomain(t.Name)
	default:
		return false
	}
}
