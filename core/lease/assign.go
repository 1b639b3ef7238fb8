package lease

import (
	"heatherrouter/core/ident"
)

// Assignment is the table's decision who may ask for the lease of a server: the home under Epoch, and the standby
// under Epoch+1 once the home's lease has lapsed. An epoch never belongs to two daemons.
type Assignment struct {
	Home    ident.Daemon
	Epoch   ident.Epoch
	Standby ident.Daemon // empty when none
}

// Assign returns the assignment to a new home, a new standby or both.
//
// The standby of the old row may take Epoch+1 at any time without telling the table, so the new row skips it:
// otherwise two daemons would ask under one epoch, and witnesses that forgot the first would give to both.
func (a Assignment) Assign(home, standby ident.Daemon) Assignment {
	return Assignment{Home: home, Epoch: a.Epoch + 2, Standby: standby}
}

// TakenOver returns the assignment after the standby took over, with a new standby.
func (a Assignment) TakenOver(standby ident.Daemon) Assignment {
	return Assignment{Home: a.Standby, Epoch: a.Epoch + 1, Standby: standby}
}

// EpochOf returns the epoch that the daemon may ask under, or 0.
func (a Assignment) EpochOf(d ident.Daemon) ident.Epoch {
	switch d {
	case "":
		return 0
	case a.Home:
		return a.Epoch
	case a.Standby:
		return a.Epoch + 1
	}
	return 0
}
