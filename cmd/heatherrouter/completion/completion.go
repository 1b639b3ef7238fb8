// Package completion is the command "completion".
package completion

import (
	"fmt"

	"github.com/gravitational/trace"

	"heatherrouter/cmd/heatherrouter/cli"
)

// Options of the command.
type Options struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"bash, zsh or fish."`
}

// Help implements kong.HelpProvider.
func (*Options) Help() string {
	return `Prints what the shell has to run at its start. The program itself then answers the shell's questions.

Examples:

    heatherrouter completion bash >> ~/.bashrc
    heatherrouter completion fish > ~/.config/fish/completions/heatherrouter.fish`
}

const (
	bash = `complete -C heatherrouter heatherrouter
`
	zsh = `autoload -U +X bashcompinit && bashcompinit
complete -C heatherrouter heatherrouter
`
	fish = `complete -c heatherrouter -f -a '(env COMP_LINE=(commandline -cp) heatherrouter)'
`
)

// Run prints the shell's lines.
func (o *Options) Run(e *cli.Env) error {
	scripts := map[string]string{"bash": bash, "zsh": zsh, "fish": fish}
	_, err := fmt.Fprint(e.Out, scripts[o.Shell])
	return trace.Wrap(err)
}
