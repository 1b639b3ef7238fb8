// Package status is the command "status".
package status

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/io/admin"
)

// expiryWarning is how long before a certificate expires the command warns.
const expiryWarning = 14 * 24 * time.Hour

// Options of the command.
type Options struct {
	cli.JSON
}

// Help implements kong.HelpProvider.
func (*Options) Help() string {
	return `Shows the daemon that answers first and the other daemons as it sees them; in a pipe only the daemons.

Examples:

    heatherrouter status
    heatherrouter status --json ready,config-rev,table-ok`
}

// Run shows the status.
func (o *Options) Run(e *cli.Env) error {
	c, err := e.Client()
	if err != nil {
		return trace.Wrap(err)
	}
	s, err := c.Status(e.Context)
	if err != nil {
		return trace.Wrap(err)
	}
	if o.Wanted() {
		return o.Print(e, s)
	}
	if e.Terminal {
		summary(e, &s)
	}
	t := cli.NewTable(cli.DaemonHeader...)
	for i := range s.Daemons {
		t.Add(cli.DaemonRow(&s.Daemons[i])...)
	}
	return t.Print(e)
}

func summary(e *cli.Env, s *admin.Status) {
	ready := "ready"
	if !s.Ready {
		ready = "not ready: " + s.Reason
	}
	fmt.Fprintf(e.Out, "%s in %s, region %s, version %s: %s\n", s.Daemon, s.Domain, s.Region, s.Version, ready)
	fmt.Fprintf(e.Out, "configuration revision %d; table %s\n",
		s.ConfigRev, reached(s.TableOK))
	for i := range s.Certs {
		x := &s.Certs[i]
		left := x.Expires.Sub(e.Clock.Now())
		note := ""
		if left < expiryWarning {
			note = "  RENEW NOW"
		}
		fmt.Fprintf(e.Out, "certificate %s (%s) expires %s%s\n", x.Subject, x.File, x.Expires.UTC().Format(time.RFC3339), note)
	}
	fmt.Fprintln(e.Out)
}

func reached(ok bool) string {
	if ok {
		return "reached"
	}
	return "NOT REACHED"
}
