package rows

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
	"heatherrouter/core/part"
	"heatherrouter/io/wire"
)

// Encode returns the rows that one transaction of changes writes.
func Encode(changes []part.Change) []docs.Change {
	out := make([]docs.Change, 0, len(changes))
	for _, c := range changes {
		out = append(out, docs.Change{Row: c.Row(), Body: body(c)})
	}
	return out
}

// Rows returns every row of a part, as its document holds them.
func Rows(p *part.Part) []docs.Change {
	var l []part.Change
	if len(p.Witnesses.Current) > 0 {
		l = append(l, part.SetWitnesses{Witnesses: p.Witnesses})
	}
	for _, s := range p.ServerIDs() {
		l = append(l, part.SetServer{Server: p.Servers[s]})
	}
	for i := range p.Chunks() {
		l = append(l, part.SetShards{Chunk: i, Owners: p.Chunk(i)})
	}
	return Encode(l)
}

func body(c part.Change) []byte {
	var m proto.Message
	switch c := c.(type) {
	case part.RemoveServer:
		return nil
	case part.SetWitnesses:
		w := c.Witnesses
		m = &wire.WitnessRow{Current: names(w.Current), Next: names(w.Next), Retired: names(w.Retired)}
	case part.SetServer:
		m = serverRow(c.Server)
	case part.SetShards:
		m = shardsRow(c)
	}
	// Marshal fails only on text that is no UTF-8, and every name in a part comes from checked settings or
	// from rows that were decoded.
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}

func serverRow(s part.Server) *wire.ServerRow {
	m := &wire.ServerRow{
		Home: string(s.Home), Epoch: uint64(s.Epoch), Standby: string(s.Standby), Supersede: s.Supersede,
	}
	switch s.State {
	case part.Active:
		m.State = wire.ServerState_SERVER_STATE_ACTIVE
	case part.Draining:
		m.State = wire.ServerState_SERVER_STATE_DRAINING
	case part.Down:
		m.State = wire.ServerState_SERVER_STATE_DOWN
	}
	return m
}

func shardsRow(c part.SetShards) *wire.ShardsRow {
	m := &wire.ShardsRow{First: uint32(c.Chunk * part.ChunkSize)}
	for _, o := range c.Owners {
		m.Owners = append(m.Owners, &wire.ShardOwner{
			Server: short(o.Server), Epoch: uint64(o.Epoch), Previous: short(o.Previous),
		})
	}
	return m
}

func short(s ident.Server) string {
	_, n, _ := strings.Cut(string(s), "/")
	return n
}

func names(l []ident.Daemon) []string {
	var out []string
	for _, d := range l {
		out = append(out, string(d))
	}
	return out
}
