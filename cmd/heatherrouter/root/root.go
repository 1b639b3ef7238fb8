// Package root is the command line as a whole.
package root

import (
	"context"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"
	"github.com/willabides/kongplete"

	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/cmd/heatherrouter/completion"
	configcheck "heatherrouter/cmd/heatherrouter/config/check"
	configfindings "heatherrouter/cmd/heatherrouter/config/findings"
	configpublish "heatherrouter/cmd/heatherrouter/config/publish"
	crashlist "heatherrouter/cmd/heatherrouter/crash/list"
	daemondrain "heatherrouter/cmd/heatherrouter/daemon/drain"
	daemonlist "heatherrouter/cmd/heatherrouter/daemon/list"
	daemonrestore "heatherrouter/cmd/heatherrouter/daemon/restore"
	domaindrain "heatherrouter/cmd/heatherrouter/domain/drain"
	domainlist "heatherrouter/cmd/heatherrouter/domain/list"
	domainrestore "heatherrouter/cmd/heatherrouter/domain/restore"
	organisationlist "heatherrouter/cmd/heatherrouter/organisation/list"
	organisationshow "heatherrouter/cmd/heatherrouter/organisation/show"
	requestexplain "heatherrouter/cmd/heatherrouter/request/explain"
	serverdrain "heatherrouter/cmd/heatherrouter/server/drain"
	serverlist "heatherrouter/cmd/heatherrouter/server/list"
	serverrestore "heatherrouter/cmd/heatherrouter/server/restore"
	servicelist "heatherrouter/cmd/heatherrouter/service/list"
	serviceload "heatherrouter/cmd/heatherrouter/service/load"
	serviceview "heatherrouter/cmd/heatherrouter/service/view"
	shardlist "heatherrouter/cmd/heatherrouter/shard/list"
	statedump "heatherrouter/cmd/heatherrouter/state/dump"
	"heatherrouter/cmd/heatherrouter/status"
	"heatherrouter/cmd/heatherrouter/version"
	"heatherrouter/io/admcli"
	"heatherrouter/io/setup"
)

const description = `Drives heatherrouter, the router for servers that own keys exclusively.

Lists are tables at a terminal, tab-separated lines in a pipe, and JSON with --json.

Exit codes: 0 done; 1 failure; 2 usage; 3 findings; 4 conflict with another operator; ` +
	`5 unavailable, nothing was changed; 6 outcome unknown.`

// Settings say which daemons to call.
type Settings struct {
	Admin   []string `env:"HEATHERROUTER_ADMIN" placeholder:"ADDR" help:"Admin address of a daemon as IP:PORT; may be repeated, the next is tried when one doesn't answer."`
	KeyFile string   `env:"HEATHERROUTER_KEY_FILE" placeholder:"FILE" help:"File with the operator key, for commands that change something."`
}

// commands is the grammar: a noun, then a verb.
type commands struct {
	Settings

	Config struct {
		Check    configcheck.Options    `cmd:"" help:"Check service files."`
		Publish  configpublish.Options  `cmd:"" help:"Put service files into force."`
		Findings configfindings.Options `cmd:"" help:"List the entries of the configuration that daemons don't use."`
	} `cmd:"" help:"Service files."`

	Service struct {
		List servicelist.Options `cmd:"" help:"List the published services."`
		View serviceview.Options `cmd:"" help:"Show one service."`
		Load serviceload.Options `cmd:"" help:"List the services that are short of capacity, and who is refused."`
	} `cmd:"" help:"Published services."`

	Shard struct {
		List shardlist.Options `cmd:"" help:"List the shards of a service and their owners."`
	} `cmd:"" help:"Shards of keyed services."`

	Server struct {
		List    serverlist.Options    `cmd:"" help:"List the backend servers."`
		Drain   serverdrain.Options   `cmd:"" help:"Take new work from a backend server."`
		Restore serverrestore.Options `cmd:"" help:"Give a backend server new work again."`
	} `cmd:"" help:"Backend servers."`

	Domain struct {
		List    domainlist.Options    `cmd:"" help:"List the failure domains."`
		Drain   domaindrain.Options   `cmd:"" help:"Take new work from a failure domain."`
		Restore domainrestore.Options `cmd:"" help:"Give a failure domain new work again."`
	} `cmd:"" help:"Failure domains."`

	Daemon struct {
		List    daemonlist.Options    `cmd:"" help:"List the daemons."`
		Drain   daemondrain.Options   `cmd:"" help:"Take new duties from a daemon."`
		Restore daemonrestore.Options `cmd:"" help:"Give a daemon new duties again."`
	} `cmd:"" help:"Daemons."`

	Organisation struct {
		List organisationlist.Options `cmd:"" help:"List the organisations with their limits and usage."`
		Show organisationshow.Options `cmd:"" help:"Show one organisation."`
	} `cmd:"" help:"Organisations of callers."`

	Crash struct {
		List crashlist.Options `cmd:"" help:"List the requests that crash backend servers."`
	} `cmd:"" help:"Requests that crash backend servers."`

	Request struct {
		Explain requestexplain.Options `cmd:"" help:"Tell from logs what happened to a request."`
	} `cmd:"" help:"Requests of callers."`

	Status status.Options `cmd:"" help:"Show the daemons."`

	State struct {
		Dump statedump.Options `cmd:"" help:"Print the state of daemons."`
	} `cmd:"" help:"State of daemons."`

	Version    version.Options    `cmd:"" help:"Print the version."`
	Completion completion.Options `cmd:"" help:"Print the lines that make a shell complete commands."`
}

// Dial opens a connection to an admin page.
func Dial(addr string) (net.Conn, error) {
	return net.DialTimeout("tcp", addr, 2*time.Second)
}

// exited is what kong's exit function panics with after --help: kong goes on with the command if that function
// returns, and os.Exit would end a test binary.
type exited cli.Exit

// Run runs one command line and returns its exit code. The environment's clients are made from the settings.
func Run(e *cli.Env, args []string, dial func(string) (net.Conn, error)) (code cli.Exit) {
	defer func() {
		switch x := recover().(type) {
		case nil:
		case exited:
			code = cli.Exit(x)
		default:
			panic(x)
		}
	}()
	var c commands
	k, err := newParser(&c, e.Out, e.Err)
	if err != nil {
		return cli.Report(e, err)
	}
	kongplete.Complete(k)
	if len(args) == 0 {
		args = []string{"--help"}
	}
	x, err := k.Parse(args)
	if err != nil {
		return cli.Report(e, err)
	}
	e.Client = func() (*admcli.Client, error) { return c.client(e, dial, "") }
	e.Keyed = func() (*admcli.Client, error) { return c.keyed(e, dial) }
	return cli.Report(e, x.Run(e))
}

func newParser(c *commands, out, errs io.Writer) (*kong.Kong, error) {
	return kong.New(c,
		kong.Name("heatherrouter"),
		kong.Description(description),
		kong.Writers(out, errs),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, FlagsLast: true, WrapUpperBound: 100}),
		kong.Exit(func(code int) { panic(exited(code)) }),
	)
}

func (s *Settings) client(e *cli.Env, dial func(string) (net.Conn, error), key string) (*admcli.Client, error) {
	if len(s.Admin) == 0 {
		return nil, cli.Usagef("no daemon to call: give its admin address with --admin IP:PORT or HEATHERROUTER_ADMIN")
	}
	var l []netip.AddrPort
	for _, a := range s.Admin {
		p, err := netip.ParseAddrPort(a)
		if err != nil || p.Port() == 0 {
			return nil, cli.Usagef("--admin is %q, must be an IP number and a port such as 127.0.0.1:8082", a)
		}
		l = append(l, p)
	}
	sleep := func(ctx context.Context, d time.Duration) error { return e.Clock.Sleep(ctx, d) }
	return admcli.New(admcli.Options{Addrs: l, Key: key, Dial: dial, Sleep: sleep}), nil
}

func (s *Settings) keyed(e *cli.Env, dial func(string) (net.Conn, error)) (*admcli.Client, error) {
	if s.KeyFile == "" {
		return nil, cli.Usagef("this command changes something: give the operator key with --key-file FILE or HEATHERROUTER_KEY_FILE")
	}
	key, err := setup.ReadOperatorKey(s.KeyFile)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return s.client(e, dial, key)
}
