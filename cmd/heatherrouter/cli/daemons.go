package cli

import "heatherrouter/io/admin"

// DaemonTable returns the table of daemons.
func DaemonTable(l []admin.Daemon) *Table {
	t := NewTable("DAEMON", "STATE", "DOMAIN", "ADDRESS", "REVISION", "HOMES")
	for i := range l {
		d := &l[i]
		t.Add(d.Name, d.State, d.Domain, d.Address, d.ConfigRev, d.Homes)
	}
	return t
}
