package place

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"heatherrouter/core/ident"
	"heatherrouter/core/part"
)

// draft is the part with the changes of the plan. It refuses edits that don't fit into one transaction; a
// later plan makes them.
type draft struct {
	old       *part.Part
	witnesses part.Witnesses
	servers   map[ident.Server]part.Server
	shards    []part.Ownership // shares the old part's slice until copied is set
	copied    bool
	reasons   map[ident.Row]*reasons // of every touched row
}

// reasons counts the reasons for the change of one row.
type reasons struct {
	order []string
	count map[string]int
}

func newDraft(p *part.Part) *draft {
	return &draft{
		old: p, witnesses: p.Witnesses, servers: maps.Clone(p.Servers), shards: slices.Clip(p.Shards),
		reasons: map[ident.Row]*reasons{},
	}
}

// fits reports whether a row is already touched or fits into the transaction.
func (d *draft) fits(r ident.Row) bool {
	return d.reasons[r] != nil || len(d.reasons) < part.MaxRows
}

func (d *draft) touch(r ident.Row, reason string) bool {
	if !d.fits(r) {
		return false
	}
	x := d.reasons[r]
	if x == nil {
		x = &reasons{count: map[string]int{}}
		d.reasons[r] = x
	}
	if x.count[reason] == 0 {
		x.order = append(x.order, reason)
	}
	x.count[reason]++
	return true
}

func (d *draft) setWitnesses(w part.Witnesses, reason string) {
	if d.touch(part.WitnessesRow, reason) {
		d.witnesses = w
	}
}

func (d *draft) setServer(s part.Server, reason string) bool {
	if !d.touch(part.ServerRow(s.ID), reason) {
		return false
	}
	d.servers[s.ID] = s
	return true
}

func (d *draft) removeServer(s ident.Server, reason string) {
	if d.touch(part.ServerRow(s), reason) {
		delete(d.servers, s)
	}
}

// copyShards copies the shards of the old part before the first change; most plans change none.
func (d *draft) copyShards() {
	if !d.copied {
		d.shards, d.copied = slices.Clone(d.shards), true
	}
}

// moveShard assigns a shard to another server and reports whether the rules and the transaction allow it.
func (d *draft) moveShard(s ident.Shard, to ident.Server, reason string) bool {
	o := d.shards[s]
	if !mayMove(o, to) || d.shards[s] != d.old.Owner(s) || !d.touch(part.ShardsRow(int(s)/part.ChunkSize), reason) {
		return false
	}
	d.copyShards()
	d.shards[s] = part.Ownership{Server: to, Epoch: o.Epoch + 1, Previous: o.Server}
	return true
}

// mayMove reports whether the rules of the part allow a move. An unreleased shard may only move back.
func mayMove(o part.Ownership, to ident.Server) bool {
	return to != o.Server && (o.Previous == "" || o.Previous == to)
}

// clearPrevious records that a shard was released, unless the same plan moves it back.
func (d *draft) clearPrevious(s ident.Shard, reason string) {
	if d.shards[s] == d.old.Owner(s) && d.touch(part.ShardsRow(int(s)/part.ChunkSize), reason) {
		d.copyShards()
		d.shards[s].Previous = ""
	}
}

// addChunk appends one row of new shards.
func (d *draft) addChunk(owners []part.Ownership, reason string) bool {
	if !d.touch(part.ShardsRow(len(d.shards)/part.ChunkSize), reason) {
		return false
	}
	d.copyShards()
	d.shards = append(d.shards, owners...)
	return true
}

func (d *draft) empty() bool {
	return len(d.reasons) == 0
}

// decision returns the touched rows that differ from the old part, sorted by row.
func (d *draft) decision() Decision {
	var x Decision
	for _, r := range slices.Sorted(maps.Keys(d.reasons)) {
		if c := d.change(r); c != nil {
			x.Changes = append(x.Changes, c)
			x.Reasons = append(x.Reasons, d.reasons[r].String())
		}
	}
	return x
}

func (d *draft) change(r ident.Row) part.Change {
	name := string(r)
	switch {
	case r == part.WitnessesRow:
		if !d.witnesses.Equal(d.old.Witnesses) {
			return part.SetWitnesses{Witnesses: d.witnesses}
		}
	case strings.HasPrefix(name, part.ServerPrefix):
		return d.serverChange(ident.ServerID(d.old.Service, strings.TrimPrefix(name, part.ServerPrefix)))
	default:
		var n int
		if _, err := fmt.Sscanf(name, part.ShardsPrefix+"%d", &n); err == nil {
			return d.shardsChange(n)
		}
	}
	return nil
}

func (d *draft) serverChange(id ident.Server) part.Change {
	old, had := d.old.Servers[id]
	s, has := d.servers[id]
	switch {
	case has && s != old:
		return part.SetServer{Server: s}
	case had && !has:
		return part.RemoveServer{ID: id}
	}
	return nil
}

func (d *draft) shardsChange(n int) part.Change {
	first := n * part.ChunkSize
	owners := d.shards[first:min(first+part.ChunkSize, len(d.shards))]
	if n < d.old.Chunks() && slices.Equal(owners, d.old.Chunk(n)) {
		return nil
	}
	return part.SetShards{Chunk: n, Owners: slices.Clone(owners)}
}

// String lists the reasons, each with its count if it applied more than once.
func (r *reasons) String() string {
	l := make([]string, len(r.order))
	for i, s := range r.order {
		l[i] = s
		if n := r.count[s]; n > 1 {
			l[i] = fmt.Sprintf("%s (%d)", s, n)
		}
	}
	return strings.Join(l, "; ")
}
