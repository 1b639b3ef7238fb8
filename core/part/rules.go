package part

import (
	"fmt"
	"slices"

	"heatherrouter/core/check"
	"heatherrouter/core/ident"
)

// Rule identifies an invariant of a Part that Apply checks.
type Rule string

// The rules that Apply enforces.
const (
	RuleRows          Rule = "rows"             // a transaction has 1 to MaxRows rows, each once
	RuleWitnesses     Rule = "witnesses"        // an odd number of distinct daemons
	RuleWitnessChange Rule = "witness-change"   // one change at a time: current and next together, then next alone
	RuleServerName    Rule = "server-name"      // the server belongs to the service and has a home
	RuleServerEpoch   Rule = "server-epoch"     // an epoch of a server never passes from one daemon to another
	RuleStandby       Rule = "standby"          // the standby isn't the home and doesn't change within an epoch
	RuleUnknownServer Rule = "unknown-server"   // a removed server has a row, and a new owner is named
	RuleInUse         Rule = "in-use"           // each owner and previous owner of a shard has a row
	RuleShards        Rule = "shards"           // rows of shards are contiguous and don't shrink
	RuleShardEpoch    Rule = "shard-epoch"      // a new owner of a shard has a higher epoch
	RulePrevious      Rule = "previous-owner"   // the previous owner is recorded, so that it can be asked to release
	RuleUnreleased    Rule = "unreleased-shard" // a shard moves to a third server only after its release
)

// Finding is one violation of a rule by a transaction.
type Finding struct {
	Rule  Rule
	Row   ident.Row
	Shard ident.Shard // set only by rules about one shard
	Text  string
}

// Findings are all rule violations of a transaction.
type Findings []Finding

// Error implements error and returns one finding per line.
func (f Findings) Error() string {
	return f.Check().Error()
}

// Check returns the findings in the form of other input checks, with the row as the place.
func (f Findings) Check() check.Findings {
	var l check.Findings
	for _, x := range f {
		l.Addf(check.Place{Key: string(x.Row)}, "%s: %s", x.Rule, x.Text)
	}
	return l
}

// Err returns the findings as an error, or nil when there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Has reports whether the rule is among the findings.
func (f Findings) Has(r Rule) bool {
	return slices.ContainsFunc(f, func(x Finding) bool { return x.Rule == r })
}

func (f *Findings) addf(r Rule, row ident.Row, format string, args ...any) {
	*f = append(*f, Finding{Rule: r, Row: row, Text: fmt.Sprintf(format, args...)})
}

func (f *Findings) addShard(r Rule, s ident.Shard, format string, args ...any) {
	text := fmt.Sprintf("shard %d: ", s) + fmt.Sprintf(format, args...)
	*f = append(*f, Finding{Rule: r, Row: ShardsRow(int(s) / ChunkSize), Shard: s, Text: text})
}

func (f *Findings) checkRows(changes []Change) {
	if len(changes) == 0 || len(changes) > MaxRows {
		f.addf(RuleRows, "", "a transaction has 1 to %d rows, not %d", MaxRows, len(changes))
	}
	seen := map[ident.Row]bool{}
	for _, c := range changes {
		if seen[c.Row()] {
			f.addf(RuleRows, c.Row(), "changed twice in one transaction")
		}
		seen[c.Row()] = true
	}
}

// checkWitnesses allows a set to change only through a step in which both sets are named.
//
// If the old set were replaced in one step, a lease holder that has not received the change could renew at
// a majority of the old set while a majority of the new one grants another daemon the same lease. Two
// daemons would then send to one server. While both sets are named, a new lease needs a majority of each,
// so the two requests share a witness.
func (f *Findings) checkWitnesses(old, w Witnesses) {
	f.checkSet("current", w.Current)
	if w.Changing() {
		f.checkSet("next", w.Next)
	}
	switch {
	case len(old.Current) == 0:
		if w.Changing() {
			f.addf(RuleWitnessChange, WitnessesRow, "the first witness set can't name a next set")
		}
	case old.Changing() && (w.Changing() || !slices.Equal(w.Current, old.Next)):
		f.addf(RuleWitnessChange, WitnessesRow, "the change to %v must be completed first", old.Next)
	case old.Changing() && !slices.Equal(w.Retired, old.Current):
		f.addf(RuleWitnessChange, WitnessesRow, "completing the change must retire %v", old.Current)
	case !old.Changing() && !slices.Equal(w.Current, old.Current):
		f.addf(RuleWitnessChange, WitnessesRow, "current must stay %v while the next set is added", old.Current)
	}
}

func (f *Findings) checkSet(name string, l []ident.Daemon) {
	if len(l)%2 == 0 {
		f.addf(RuleWitnesses, WitnessesRow, "%s: an odd number of daemons is needed, not %d", name, len(l))
	}
	seen := map[ident.Daemon]bool{}
	for _, d := range l {
		if d == "" || seen[d] {
			f.addf(RuleWitnesses, WitnessesRow, "%s: daemon %q is empty or named twice", name, d)
		}
		seen[d] = true
	}
}

func (f *Findings) checkServer(p *Part, s Server) {
	row := ServerRow(s.ID)
	if s.ID.Service() != p.Service || s.ID == ident.Server(p.Service) || s.Home == "" || s.Epoch == 0 {
		f.addf(RuleServerName, row, "%q needs a name below %q, a home and an epoch", s.ID, p.Service)
	}
	if s.Standby == s.Home {
		f.addf(RuleStandby, row, "the home %q can't be its own standby", s.Home)
	}
	if old, ok := p.Servers[s.ID]; ok {
		f.checkServerEpoch(row, old, s)
	} else if s.Epoch < p.FirstEpoch() {
		f.addf(RuleServerEpoch, row, "epoch %d may have been used by an earlier row, the lowest free epoch is %d", s.Epoch, p.FirstEpoch())
	}
}

// checkServerEpoch ensures that each epoch of a server belongs to one daemon.
//
// Witnesses identify lease holders by epoch. If the standby of an epoch were replaced, or a third daemon
// got the epoch that the standby may already use, two daemons could hold leases with the same epoch and no
// witness would detect it. Epoch+1 is therefore always reserved for the standby.
func (f *Findings) checkServerEpoch(row ident.Row, old, s Server) {
	switch {
	case s.Epoch < old.Epoch:
		f.addf(RuleServerEpoch, row, "epoch %d is older than %d", s.Epoch, old.Epoch)
	case s.Epoch > old.Epoch+EpochStep:
		f.addf(RuleServerEpoch, row, "epoch %d is more than %d after %d", s.Epoch, EpochStep, old.Epoch)
	case s.Epoch == old.Epoch && s.Home != old.Home:
		f.addf(RuleServerEpoch, row, "epoch %d belongs to %s", s.Epoch, old.Home)
	case s.Epoch == old.Epoch && s.Standby != old.Standby && old.Standby != "":
		f.addf(RuleStandby, row, "epoch %d belongs to the standby %s", s.Epoch+1, old.Standby)
	case s.Epoch == old.Epoch && old.Supersede && !s.Supersede:
		f.addf(RuleServerEpoch, row, "supersede can't be cleared within epoch %d", s.Epoch)
	case s.Epoch == old.Epoch+1 && old.Standby != "" && s.Home != old.Standby:
		f.addf(RuleServerEpoch, row, "epoch %d belongs to the standby %s", s.Epoch, old.Standby)
	}
}

func (f *Findings) checkServerExists(p *Part, s ident.Server) {
	if _, ok := p.Servers[s]; !ok {
		f.addf(RuleUnknownServer, ServerRow(s), "%s has no row to remove", s)
	}
}

func (f *Findings) checkShards(p *Part, c SetShards) {
	switch {
	case c.Chunk < 0 || c.Chunk > p.Chunks() || len(c.Owners) == 0 || len(c.Owners) > ChunkSize:
		f.addf(RuleShards, c.Row(), "a row has 1 to %d shards and no gap before it", ChunkSize)
		return
	case c.Chunk < p.Chunks() && len(c.Owners) < len(p.Chunk(c.Chunk)):
		f.addf(RuleShards, c.Row(), "a row of %d shards can't shrink to %d", len(p.Chunk(c.Chunk)), len(c.Owners))
	case c.Chunk == p.Chunks() && len(p.Shards)%ChunkSize != 0:
		f.addf(RuleShards, c.Row(), "the row before it is not full")
	case c.Chunk < p.Chunks()-1 && len(c.Owners) != ChunkSize:
		f.addf(RuleShards, c.Row(), "only the last row may be short")
	}
	for i, o := range c.Owners {
		s := ident.Shard(c.Chunk*ChunkSize + i)
		f.checkShard(s, p.Owner(s), o)
	}
}

// checkShard allows a shard to change owner only if the release by its previous owner can be awaited.
//
// A row names one previous owner, which the new owner asks for release. If a shard moved from a to b to c
// before a released it, c would ask b, which reports that it never had the shard. a may not have received
// either move and would go on serving, so the shard would have two owners. The shard therefore stays with b
// until a's release is recorded, or moves back to a, which needs no release from itself.
func (f *Findings) checkShard(s ident.Shard, old, o Ownership) {
	same := o.Server == old.Server
	switch {
	case o == old:
	case o.Server == "":
		f.addShard(RuleUnknownServer, s, "an owner is needed")
	case o.Epoch < old.Epoch || (o.Epoch == old.Epoch && !same):
		f.addShard(RuleShardEpoch, s, "epoch %d of %s is not higher than %d of %s", o.Epoch, o.Server, old.Epoch, old.Server)
	case same && (o.Epoch != old.Epoch || o.Previous != ""):
		f.addShard(RuleShardEpoch, s, "%s stays the owner, so only the previous owner can be cleared", o.Server)
	case !same && o.Previous != old.Server:
		f.addShard(RulePrevious, s, "previous owner %q must be %q", o.Previous, old.Server)
	case !same && old.Previous != "" && o.Server != old.Previous:
		f.addShard(RuleUnreleased, s, "%s has not yet released it to %s", old.Previous, old.Server)
	}
}

// checkOwners reports shards whose owner or previous owner has no row after the transaction.
func (f *Findings) checkOwners(n *Part, changes []Change) {
	if !touchesOwners(changes) {
		return
	}
	for i, o := range n.Shards {
		s := ident.Shard(i)
		if _, ok := n.Servers[o.Server]; o.Server != "" && !ok {
			f.addShard(RuleInUse, s, "owner %s has no row", o.Server)
		}
		if _, ok := n.Servers[o.Previous]; o.Previous != "" && !ok {
			f.addShard(RuleInUse, s, "previous owner %s has no row", o.Previous)
		}
	}
}

func touchesOwners(changes []Change) bool {
	return slices.ContainsFunc(changes, func(c Change) bool {
		switch c.(type) {
		case RemoveServer, SetShards:
			return true
		}
		return false
	})
}
