package rows

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
	"heatherrouter/core/part"
	"heatherrouter/io/wire"
)

// Encode returns the row writes of one transaction, in the order of changes. A removed server has a nil body.
func Encode(changes []part.Change) []docs.Change {
	out := make([]docs.Change, 0, len(changes))
	for _, c := range changes {
		out = append(out, docs.Change{Row: c.Row(), Body: encodeBody(c)})
	}
	return out
}

// Rows returns all rows of the document that stores the part.
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

func encodeBody(c part.Change) []byte {
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
	// Marshal fails only on strings that are not valid UTF-8. All names in a part come from validated settings or
	// from decoded rows.
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
			Server: shortName(o.Server), Epoch: uint64(o.Epoch), Previous: shortName(o.Previous),
		})
	}
	return m
}

func shortName(s ident.Server) string {
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
