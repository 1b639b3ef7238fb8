// Package dump is the command "state dump".
package dump

import (
	"encoding/json"
	"errors"
	"net/netip"

	"github.com/gravitational/trace"

	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/io/admin"
)

// Options of the command.
type Options struct{}

// Help implements kong.HelpProvider.
func (*Options) Help() string {
	return `Prints the state of the daemon behind each --admin address, one line of JSON each.

Examples:

    heatherrouter state dump --admin 127.0.0.1:8082 > hr-01.json
    heatherrouter state dump --admin 127.0.0.1:8082 --admin 127.0.0.1:8092`
}

// dump is one line of output.
type dump struct {
	Admin netip.AddrPort  `json:"admin"`
	State json.RawMessage `json:"state,omitempty"`
	Error string          `json:"error,omitempty"`
}

// Run prints the dumps. A daemon that doesn't answer doesn't keep the others' from being printed.
func (o *Options) Run(e *cli.Env) error {
	c, err := e.Client()
	if err != nil {
		return trace.Wrap(err)
	}
	var failed []error
	out := json.NewEncoder(e.Out)
	for _, a := range c.Addrs() {
		d := dump{Admin: a}
		b, err := c.State(e.Context, a)
		if err != nil {
			d.Error = trace.UserMessage(err)
			failed = append(failed, err)
		}
		d.State = b
		if err := out.Encode(d); err != nil {
			return trace.Wrap(err)
		}
	}
	if len(failed) == 0 {
		return nil
	}
	return trace.Wrap(&admin.UnavailableError{Cause: errors.Join(failed...).Error()})
}
