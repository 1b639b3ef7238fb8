package publ

import (
	"context"

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

// drain commits the wanted state of one target on the revision that the client has seen. It does so also when
// the copy already shows that state: the copy may be seconds old, and the operator would be told "drained" of a
// server that somebody has just restored.
//
// It doesn't go on to a newer revision by itself: a repeated call would then be another transaction, and drain
// again what somebody has restored since its first attempt.
func (p *Publisher) drain(ctx context.Context, q admin.Drain, on bool) (admin.Drained, error) {
	if err := checkOrigin(q.Txn, q.By); err != nil {
		return admin.Drained{}, trace.Wrap(err)
	}
	t, err := target(q)
	if err != nil {
		return admin.Drained{}, trace.Wrap(err)
	}
	d, err := p.copyAt(ctx, q.BaseRev)
	if err != nil {
		return admin.Drained{}, trace.Wrap(err)
	}
	newer := d.Rev > q.BaseRev
	if newer && !q.Again {
		return admin.Drained{}, trace.Wrap(&admin.ConflictError{Base: q.BaseRev, Current: d.Rev})
	}
	was := d.Body(t.Row())
	if !newer && len(was) == 0 && !p.known(d, t) {
		return admin.Drained{}, trace.Wrap(&admin.NotFoundError{What: string(q.Kind), Name: q.Name})
	}
	x, err := p.drainChange(q, t, was, on)
	if err != nil {
		return admin.Drained{}, trace.Wrap(err)
	}
	rev, err := p.commit(ctx, q.BaseRev, q.Txn, []docs.Change{x})
	if err != nil {
		return admin.Drained{}, trace.Wrap(err)
	}
	return admin.Drained{Rev: rev, Changed: newer || (len(was) > 0) != on}, nil
}

// drainChange returns the row to write; a drain in force keeps its first operator and time.
func (p *Publisher) drainChange(q admin.Drain, t config.Target, was []byte, on bool) (docs.Change, error) {
	x := docs.Change{Row: t.Row()}
	if !on {
		return x, nil
	}
	x.Body = was
	if len(was) > 0 {
		return x, nil
	}
	since := q.Since
	if since.IsZero() {
		since = p.now()
	}
	b, err := rowcfg.EncodeDrain(config.Drain{By: q.By, Since: since})
	x.Body = b
	return x, trace.Wrap(err)
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
		return c.FindServer(t.Name) != nil
	case config.DaemonTarget:
		return p.hosts.HasDaemon(t.Name)
	case config.DomainTarget:
		return p.hosts.HasDomain(t.Name) || c.HasDomain(t.Name)
	default:
		return false
	}
}
