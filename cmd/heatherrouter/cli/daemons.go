package cli

import "heatherrouter/io/admin"

// DaemonHeader is the header of tables of daemons.
var DaemonHeader = []string{"DAEMON", "STATE", "DOMAIN", "ADDRESS", "REVISION", "HOMES"}

// DaemonRow returns the cells of one daemon.
func DaemonRow(d *admin.Daemon) []any {
	return []any{d.Name, d.State, d.Domain, d.Address, d.ConfigRev, d.Homes}
}
