// Package rows converts a part.Part to and from the rows of its document.
package rows

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"heatherrouter/core/check"
	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
	"heatherrouter/core/part"
	"heatherrouter/io/wire"
)

// Decode builds the part from a copy of its document, or returns all invalid rows as check.Findings.
//
// Decode does not check the rules for changes again: the writer of the rows has applied them.
func Decode(s ident.Service, d *docs.Doc) (*part.Part, error) {
	r := newReader(part.New(s))
	r.p.Rev = d.Rev
	for _, n := range d.Names("") {
		r.row(n, d.Body(n))
	}
	r.shards()
	if err := r.f.Err(); err != nil {
		return nil, err
	}
	return r.p, nil
}

// Advance builds the part from a newer copy of the document that the old part was built from. It decodes only the
// changed rows where it can, so that moving one shard doesn't require decoding a million others.
func Advance(old *part.Part, d *docs.Doc) (*part.Part, error) {
	if old == nil || d.Rev < old.Rev {
		return Decode(ident.Service(strings.TrimPrefix(string(d.Name), "part/")), d)
	}
	r := newReader(&part.Part{
		Service: old.Service, Rev: d.Rev, Witnesses: old.Witnesses,
		Servers: maps.Clone(old.Servers), Shards: slices.Clone(old.Shards),
	})
	for n, x := range d.Rows {
		if x.Rev <= old.Rev {
			continue
		}
		if len(x.Body) == 0 {
			return Decode(old.Service, d) // removals are rare, and any shard may still refer to the server
		}
		r.row(n, x.Body)
	}
	for i, m := range r.chunks {
		if !r.replaceChunk(i, m) {
			return Decode(old.Service, d)
		}
	}
	if err := r.f.Err(); err != nil {
		return nil, err
	}
	return r.p, nil
}

// replaceChunk replaces the owners of chunk i. It returns false if the number of shards has changed.
func (r *reader) replaceChunk(i int, m *wire.ShardsRow) bool {
	first := i * part.ChunkSize
	if first+len(m.Owners) > len(r.p.Shards) || len(m.Owners) != min(part.ChunkSize, len(r.p.Shards)-first) {
		return false
	}
	for j, o := range m.Owners {
		r.p.Shards[first+j] = r.owner(part.ShardsRow(i), first+j, o)
	}
	return true
}

type reader struct {
	p      *part.Part
	ids    map[string]ident.Server // by short name; all shards of a server share one string
	chunks map[int]*wire.ShardsRow
	f      check.Findings
}

func newReader(p *part.Part) *reader {
	return &reader{p: p, ids: map[string]ident.Server{}, chunks: map[int]*wire.ShardsRow{}}
}

func (r *reader) id(short string) ident.Server {
	id, ok := r.ids[short]
	if !ok {
		id = ident.ServerID(r.p.Service, short)
		r.ids[short] = id
	}
	return id
}

func (r *reader) addf(n ident.Row, format string, args ...any) {
	r.f.Addf(check.Place{File: string(ident.AssignmentsDoc(r.p.Service)), Key: string(n)}, format, args...)
}

func (r *reader) unmarshal(n ident.Row, body []byte, m proto.Message) bool {
	if err := proto.Unmarshal(body, m); err != nil {
		r.addf(n, "not a %s: %v", m.ProtoReflect().Descriptor().Name(), err)
		return false
	}
	return true
}

func (r *reader) row(n ident.Row, body []byte) {
	name := string(n)
	switch {
	case n == part.WitnessesRow:
		r.witnesses(n, body)
	case strings.HasPrefix(name, part.ServerPrefix):
		r.server(n, body)
	case strings.HasPrefix(name, part.ShardsPrefix):
		r.chunk(n, body)
	default:
		r.addf(n, "unknown row")
	}
}

func (r *reader) witnesses(n ident.Row, body []byte) {
	var m wire.WitnessRow
	if !r.unmarshal(n, body, &m) {
		return
	}
	if len(m.Current) == 0 {
		r.addf(n, "no current witness")
	}
	r.p.Witnesses = part.Witnesses{Current: daemons(m.Current), Next: daemons(m.Next), Retired: daemons(m.Retired)}
}

func (r *reader) server(n ident.Row, body []byte) {
	var m wire.ServerRow
	if !r.unmarshal(n, body, &m) {
		return
	}
	short := strings.TrimPrefix(string(n), part.ServerPrefix)
	st, ok := stateFrom(m.State)
	if short == "" || m.Home == "" || m.Epoch == 0 || !ok {
		r.addf(n, "server row requires a name, a home, an epoch and a known state")
		return
	}
	id := ident.ServerID(r.p.Service, short)
	r.p.Servers[id] = part.Server{
		ID: id, Home: ident.Daemon(m.Home), Epoch: ident.Epoch(m.Epoch),
		Standby: ident.Daemon(m.Standby), State: st, Supersede: m.Supersede,
	}
}

func (r *reader) chunk(n ident.Row, body []byte) {
	var m wire.ShardsRow
	if !r.unmarshal(n, body, &m) {
		return
	}
	i, err := strconv.Atoi(strings.TrimPrefix(string(n), part.ShardsPrefix))
	if err != nil || i < 0 || n != part.ShardsRow(i) || int64(m.First) != int64(i)*part.ChunkSize {
		r.addf(n, "row name does not match first shard %d", m.First)
		return
	}
	if len(m.Owners) == 0 || len(m.Owners) > part.ChunkSize {
		r.addf(n, "row has %d shards, want 1 to %d", len(m.Owners), part.ChunkSize)
		return
	}
	r.chunks[i] = &m
}

// shards joins the shard rows. It reports a missing row, as all later shards would get the wrong number.
func (r *reader) shards() {
	if len(r.chunks) > 0 {
		r.p.Shards = make([]part.Ownership, 0, len(r.chunks)*part.ChunkSize)
	}
	for i := range len(r.chunks) {
		m, ok := r.chunks[i]
		if !ok {
			r.addf(part.ShardsRow(i), "missing, but later shard rows exist")
			return
		}
		if i < len(r.chunks)-1 && len(m.Owners) != part.ChunkSize {
			r.addf(part.ShardsRow(i), "row has %d shards, but only the last row may be short", len(m.Owners))
		}
		for _, o := range m.Owners {
			r.p.Shards = append(r.p.Shards, r.owner(part.ShardsRow(i), len(r.p.Shards), o))
		}
	}
}

func (r *reader) owner(n ident.Row, shard int, m *wire.ShardOwner) part.Ownership {
	o := part.Ownership{Epoch: ident.Epoch(m.GetEpoch())}
	if m.GetServer() != "" {
		o.Server = r.id(m.Server)
	}
	if m.GetPrevious() != "" {
		o.Previous = r.id(m.Previous)
	}
	if o.Server == "" || o.Epoch == 0 {
		r.addf(n, "shard %d requires an owner and an epoch", shard)
	}
	for _, s := range []ident.Server{o.Server, o.Previous} {
		if _, ok := r.p.Servers[s]; s != "" && !ok {
			r.addf(n, "shard %d refers to server %s, which has no row", shard, s)
		}
	}
	return o
}

func daemons(l []string) []ident.Daemon {
	var out []ident.Daemon
	for _, s := range l {
		out = append(out, ident.Daemon(s))
	}
	return out
}

func stateFrom(s wire.ServerState) (part.State, bool) {
	switch s {
	case wire.ServerState_SERVER_STATE_ACTIVE:
		return part.Active, true
	case wire.ServerState_SERVER_STATE_DRAINING:
		return part.Draining, true
	case wire.ServerState_SERVER_STATE_DOWN:
		return part.Down, true
	}
	return 0, false
}
