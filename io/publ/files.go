package publ

import (
	"context"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"heatherrouter/core/check"
	"heatherrouter/core/config"
	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
	"heatherrouter/io/admin"
	"heatherrouter/io/rowcfg"
)

// plan is what a publish would write on top of one copy of the document.
type plan struct {
	changes []docs.Change
	answer  admin.Published
}

// Publish checks the files together with the services already in force and commits what they change, in one
// transaction that builds on the revision the operator saw. Files that change nothing cause no write.
func (p *Publisher) Publish(ctx context.Context, q admin.Publish) (admin.Published, error) {
	if err := checkOrigin(q.Txn, q.By); err != nil {
		return admin.Published{}, trace.Wrap(err)
	}
	if len(q.Files) == 0 && len(q.Remove) == 0 {
		return admin.Published{}, trace.BadParameter("the publish holds no files and removes nothing")
	}
	services, found := admin.ParseFiles(q.Files) // as many as files, in their order, unless there are findings
	if err := found.Err(); err != nil {
		return admin.Published{}, trace.Wrap(err)
	}
	d, err := p.copyAt(ctx, q.BaseRev)
	if err != nil {
		return admin.Published{}, trace.Wrap(err)
	}
	if d.Rev > q.BaseRev {
		if q.Again {
			return p.settle(ctx, d, q, services)
		}
		return admin.Published{}, trace.Wrap(&admin.ConflictError{Base: q.BaseRev, Current: d.Rev})
	}
	if err := checkTogether(d, q, services); err != nil {
		return admin.Published{}, trace.Wrap(err)
	}
	x, err := makePlan(d, q, services)
	if err != nil {
		return admin.Published{}, trace.Wrap(err)
	}
	if len(x.changes) == 0 {
		return x.answer, nil
	}
	if err := x.fits(); err != nil {
		return admin.Published{}, trace.Wrap(err)
	}
	x.answer.Rev, err = p.commit(ctx, q.BaseRev, q.Txn, x.changes)
	return x.answer, trace.Wrap(err)
}

// fits reports whether the changes go into one transaction of the table.
func (x *plan) fits() error {
	n := 0
	for _, c := range x.changes {
		n += len(c.Body)
	}
	if len(x.changes) > MaxChanges || n > MaxBytes {
		return trace.BadParameter("the publish changes %d services with %d bytes, at most %d with %d go into one transaction; "+
			"publish the trees one after the other", len(x.changes), n, MaxChanges, MaxBytes)
	}
	return nil
}

// settle answers a repeated publish whose base is no longer the newest revision.
//
// Either another operator was faster, or the first attempt took effect and its reply was lost: then the newer
// revision is its own, and calling that a conflict would send the operator off to solve none. Only the table
// knows the transaction id, so it decides; its condition on the base keeps it from writing anything. A first
// attempt never comes here: the table forgets old ids, and what was never sent would end as unknown.
func (p *Publisher) settle(ctx context.Context, d *docs.Doc, q admin.Publish, l []*config.Service) (admin.Published, error) {
	x, err := makePlan(docs.New(ident.ConfigDoc), q, l)
	if err != nil {
		return admin.Published{}, trace.Wrap(err)
	}
	rev, err := p.commit(ctx, q.BaseRev, q.Txn, x.changes[:min(len(x.changes), MaxChanges)])
	if err != nil {
		return admin.Published{}, trace.Wrap(err)
	}
	a := admin.Published{Rev: rev, Removed: x.answer.Removed}
	for _, s := range l {
		if d.Rows[config.ServiceRow(s.Name)].Rev >= rev {
			a.Changed = append(a.Changed, s.Name)
			continue
		}
		a.Same = append(a.Same, s.Name)
	}
	return a, nil
}

// checkTogether checks the services as they will stand side by side after the publish.
func checkTogether(d *docs.Doc, q admin.Publish, l []*config.Service) error {
	// Findings about rows in force are in every daemon's log; here they would refuse the publish that corrects them.
	now, _ := rowcfg.Read(d)
	var all []*config.Service
	for n, s := range now.Services {
		replaced := slices.ContainsFunc(l, func(x *config.Service) bool { return x.Name == n })
		if !replaced && !slices.Contains(q.Remove, n) {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b *config.Service) int { return strings.Compare(string(a.Name), string(b.Name)) })
	f := config.CheckAll(append(all, l...))
	for _, s := range l {
		if old := now.Services[s.Name]; old != nil {
			f = append(f, config.CheckChange(old, s)...)
		}
	}
	checkRemovals(d, q.Remove, l, &f)
	return f.Err()
}

// checkRemovals adds findings about the services to remove; l are those to publish.
func checkRemovals(d *docs.Doc, remove []ident.Service, l []*config.Service, f *check.Findings) {
	for i, n := range remove {
		if slices.ContainsFunc(l, func(x *config.Service) bool { return x.Name == n }) {
			f.Addf(check.Place{}, "the service %s is both published and removed", n)
		}
		if len(d.Body(config.ServiceRow(n))) == 0 {
			f.Addf(check.Place{}, "there is no service %q to remove", n)
		}
		if slices.Contains(remove[:i], n) {
			f.Addf(check.Place{}, "the service %q is removed twice", n)
		}
	}
}

// makePlan finds what the publish changes in the document. The path of a file is for people to read: the
// same file from another operator's folder is no change.
func makePlan(d *docs.Doc, q admin.Publish, l []*config.Service) (plan, error) {
	x := plan{answer: admin.Published{Rev: d.Rev}}
	for i, s := range l {
		row := config.ServiceRow(s.Name)
		if _, file, err := rowcfg.DecodeService(d.Body(row)); err == nil && string(file) == q.Files[i].Body {
			x.answer.Same = append(x.answer.Same, s.Name)
			continue
		}
		b, err := rowcfg.EncodeService(q.Files[i].Path, []byte(q.Files[i].Body))
		if err != nil {
			return plan{}, trace.Wrap(err)
		}
		x.changes = append(x.changes, docs.Change{Row: row, Body: b})
		x.answer.Changed = append(x.answer.Changed, s.Name)
	}
	for _, n := range q.Remove {
		x.changes = append(x.changes, docs.Change{Row: config.ServiceRow(n)})
		x.answer.Removed = append(x.answer.Removed, n)
	}
	return x, nil
}
