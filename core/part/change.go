package part

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"heatherrouter/core/ident"
)

// MaxRows is the maximum number of rows that one transaction of the table may change.
const MaxRows = 99

// Change is the change of one row in a transaction on a Part.
type Change interface {
	change()
	// Row returns the row of the document that the change replaces or removes.
	Row() ident.Row
}

type (
	// SetWitnesses replaces the witnesses.
	SetWitnesses struct {
		Witnesses Witnesses
	}

	// SetServer adds or replaces the row of a backend server.
	SetServer struct {
		Server Server
	}

	// RemoveServer removes the row of a backend server.
	RemoveServer struct {
		ID ident.Server
	}

	// SetShards replaces all shards of one row.
	SetShards struct {
		Chunk  int // the row's number; its first shard is Chunk*ChunkSize
		Owners []Ownership
	}
)

func (SetWitnesses) change() {}
func (SetServer) change()    {}
func (RemoveServer) change() {}
func (SetShards) change()    {}

// WitnessesRow is the row of the witnesses in a document "part/SERVICE".
const WitnessesRow ident.Row = "witnesses"

// Prefixes of the rows of servers and of shards.
const (
	ServerPrefix = "server/"
	ShardsPrefix = "shards/"
)

// ServerRow returns the name of a server's row, which leaves out the service.
func ServerRow(s ident.Server) ident.Row {
	_, short, _ := strings.Cut(string(s), "/")
	return ident.Row(ServerPrefix + short)
}

// ShardsRow returns the name of a row of shards.
func ShardsRow(chunk int) ident.Row {
	return ident.Row(ShardsPrefix + strconv.Itoa(chunk))
}

// Row implements Change.
func (SetWitnesses) Row() ident.Row { return WitnessesRow }

// Row implements Change.
func (c SetServer) Row() ident.Row { return ServerRow(c.Server.ID) }

// Row implements Change.
func (c RemoveServer) Row() ident.Row { return ServerRow(c.ID) }

// Row implements Change.
func (c SetShards) Row() ident.Row { return ShardsRow(c.Chunk) }

// Apply returns the part at the next revision, after one transaction of changes. If the transaction breaks
// rules, the error is a Findings with all violations. Apply does not modify p.
func (p *Part) Apply(changes ...Change) (*Part, error) {
	var f Findings
	f.checkRows(changes)
	n := p.clone()
	n.Rev++
	for _, c := range sortByChunk(changes) {
		switch c := c.(type) {
		case SetWitnesses:
			f.checkWitnesses(p.Witnesses, c.Witnesses)
			n.Witnesses = c.Witnesses.Clone()
		case SetServer:
			f.checkServer(p, c.Server)
			n.Servers[c.Server.ID] = c.Server
		case RemoveServer:
			f.checkServerExists(p, c.ID)
			delete(n.Servers, c.ID)
		case SetShards:
			f.checkShards(n, c)
			n.setChunk(c)
		}
	}
	f.checkOwners(n, changes)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return n, nil
}

// sortByChunk returns the changes with rows of shards in ascending order, so that new rows follow existing ones.
func sortByChunk(changes []Change) []Change {
	chunk := func(c Change) int {
		if s, ok := c.(SetShards); ok {
			return s.Chunk
		}
		return -1
	}
	l := slices.Clone(changes)
	slices.SortStableFunc(l, func(a, b Change) int { return chunk(a) - chunk(b) })
	return l
}

func (p *Part) setChunk(c SetShards) {
	first := c.Chunk * ChunkSize
	if c.Chunk < 0 || first > len(p.Shards) {
		return // reported by checkShards
	}
	if end := first + len(c.Owners); end > len(p.Shards) {
		p.Shards = append(p.Shards, make([]Ownership, end-len(p.Shards))...)
	}
	copy(p.Shards[first:], c.Owners)
}

// String describes the change for the log.
func (c SetWitnesses) String() string {
	return fmt.Sprintf("witnesses %v next %v", c.Witnesses.Current, c.Witnesses.Next)
}

// String describes the change for the log.
func (c SetServer) String() string {
	return fmt.Sprintf("%s home %s epoch %d standby %s %s", c.Server.ID, c.Server.Home, c.Server.Epoch, c.Server.Standby, c.Server.State)
}

// String describes the change for the log.
func (c RemoveServer) String() string { return fmt.Sprintf("%s removed", c.ID) }

// String describes the change for the log.
func (c SetShards) String() string {
	return fmt.Sprintf("shards %d to %d", c.Chunk*ChunkSize, c.Chunk*ChunkSize+len(c.Owners)-1)
}
