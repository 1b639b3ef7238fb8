package root_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/cmd/heatherrouter/root"
	"heatherrouter/core/ident"
	"heatherrouter/io/admin/fake"
)

const (
	key   = fake.OperatorKey
	addr  = "127.0.0.1:1"
	dead  = "127.0.0.1:2"
	other = "127.0.0.1:3" // answers with what is no admin page
	file  = `name = "a"
region = "north"
shards = 2

[key]
path-segment = 0

[[servers]]
name = "s"
address = "127.0.0.1:8001"
domain = "d1"

[[kinds]]
name = "read"
methods = ["GET", "HEAD"]
path = "/*"
idempotent = true
timeout = "1s"
`
)

// clock moves on only by Sleep.
type clock struct {
	now  time.Time
	wake func()
}

func (c *clock) Now() time.Time { return c.now }

func (c *clock) Sleep(ctx context.Context, d time.Duration) error {
	c.now = c.now.Add(d)
	if c.wake != nil {
		c.wake()
	}
	return ctx.Err()
}

// fixture is one daemon and a folder with the operator key and a service file in "a".
type fixture struct {
	docs    *fake.Docs
	backend *fake.Backend
	clock   *clock
	network *fake.Network
	txns    int
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	t.Chdir(t.TempDir())
	t.Setenv("HEATHERROUTER_ADMIN", "")
	t.Setenv("HEATHERROUTER_KEY_FILE", "")
	write(t, "key", key+"\n")
	write(t, "a/heatherrouter.toml", file)

	f := &fixture{docs: fake.NewDocs(), clock: &clock{now: time.Unix(1_999_990_000, 0)}, network: fake.NewNetwork()}
	f.backend = fake.New(f.docs, f.clock.Now)
	f.network.Serve(addr, fake.NewPage(f.backend, key).Handle)
	f.network.Serve(other, func(c *fasthttp.RequestCtx) { c.SetBodyString("<html>") })
	t.Cleanup(f.network.Close)
	return f
}

func write(t *testing.T, path, body string) {
	t.Helper()
	require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
	require.NoError(t, os.WriteFile(path, []byte(body), 0o600))
}

// run runs a command line, given as one string, against a dead daemon and one that answers.
func (f *fixture) run(t *testing.T, terminal bool, line string) (code cli.Exit, out, errs string) {
	t.Helper()
	return f.execute(t, terminal, line+" --admin "+dead+" --admin "+addr+" --key-file key")
}

// runByEnv takes the settings from the environment, so that flags of the line go before them.
func (f *fixture) runByEnv(t *testing.T, line string) (code cli.Exit, out, errs string) {
	t.Helper()
	t.Setenv("HEATHERROUTER_ADMIN", addr)
	t.Setenv("HEATHERROUTER_KEY_FILE", "key")
	return f.execute(t, false, line)
}

// execute runs a command line without any settings but its own.
func (f *fixture) execute(t *testing.T, terminal bool, line string) (code cli.Exit, out, errs string) {
	t.Helper()
	var o, e bytes.Buffer
	env := &cli.Env{
		Context: t.Context(), Out: &o, Err: &e, Terminal: terminal, Clock: f.clock, Operator: "anna",
		NewTxn: func() ident.Txn { f.txns++; return ident.Txn(fmt.Sprintf("txn-%06d", f.txns)) },
	}
	code = root.Run(env, strings.Fields(line), f.network.Dial)
	return code, o.String(), e.String()
}

func TestCommandsInAPipe(t *testing.T) {
	f := newFixture(t)
	tests := []struct {
		line string
		want string
	}{
		{"config check a", "a\t1\n"},
		{"config check a --json", "[]\n"},
		{"config publish a --wait", "1\ta\tchanged\n"},
		{"config publish .", "1\ta\tunchanged\n"},
		{"config publish a --json rev,changed", `{"changed":null,"rev":1}` + "\n"},
		{"service list", "a\tnorth\tpath-segment 0\t2\t1\t1\t1\ta/heatherrouter.toml\n"},
		{"service list --json name,rev", `[{"name":"a","rev":1}]` + "\n"},
		{"service view a", "read\tGET,HEAD\t/*\t1s\t0\tidempotent\n"},
		{"service view a --file", file},
		{"service view a --json shards", `{"shards":2}` + "\n"},
		{"shard list a", "0\ta/s\t7\thr-01\t\n1\ta/s\t7\thr-01\t\n"},
		{"shard list a --server a/x --json shard", "[]\n"},
		{"server list", "a/s\tactive\td1\t127.0.0.1:8001\thr-01\t7\t0\t0\t3\t0\t\n"},
		{"server list --domain d2", ""},
		{"server list --service b --json name", "[]\n"},
		{"server drain a/s", "server\ta/s\tdrained\t2\n"},
		{"server drain a/s --by bert", "server\ta/s\talready drained\t3\n"},
		{"server list --json state,drained-by", `[{"drained-by":"anna","state":"drained"}]` + "\n"},
		{"server restore a/s --json changed,rev", `{"changed":true,"rev":4}` + "\n"},
		{"domain drain d1", "domain\td1\tdrained\t5\n"},
		{"domain list", "d1\tdrained\t1\t0\tanna\t2033-05-18T00:46:40Z\n"},
		{"domain restore d1", "domain\td1\trestored\t6\n"},
		{"status", "hr-01\tactive\td1\t127.0.0.1:9001\t6\t0\n"},
		{"status --json ready,config-rev", `{"config-rev":6,"ready":true}` + "\n"},
		{"daemon drain hr-01", "daemon\thr-01\tdrained\t7\n"},
		{"daemon restore hr-01", "daemon\thr-01\trestored\t8\n"},
		{"daemon list", "hr-01\tactive\td1\t127.0.0.1:9001\t8\t0\n"},
		{"daemon list --json name,homes", `[{"homes":0,"name":"hr-01"}]` + "\n"},
		{"config publish --remove a", "9\ta\tremoved\n"},
		{"service list", ""},
	}
	for _, tt := range tests {
		t.Run(tt.line, func(t *testing.T) {
			code, out, errs := f.run(t, false, tt.line)
			require.Empty(t, errs)
			require.Equal(t, cli.ExitOK, code)
			require.Equal(t, tt.want, out)
		})
	}
}

func TestCommandsAtATerminal(t *testing.T) {
	f := newFixture(t)
	tests := []struct {
		line string
		want []string
	}{
		{"config check a", []string{"1 service(s), no findings"}},
		{"config publish a --wait", []string{"published as revision 1\n  changed: a\n", "in force at all 1 daemon(s)"}},
		{"config publish a", []string{"nothing to publish: all 1 service(s) are in force at revision 1"}},
		{"service view a", []string{"a in region north, revision 1, from a/heatherrouter.toml", "key: path-segment 0; shards: 2", "KIND  METHODS"}},
		{"server list", []string{"NAME  STATE   DOMAIN  ADDRESS", "a/s   active  d1"}},
		{"server drain a/s", []string{"server a/s drained with revision 2"}},
		{"status", []string{"hr-01 in d1, region north", "configuration revision 2; table reached", "RENEW NOW", "DAEMON  STATE"}},
		{"version", []string{"VERSION", "go1."}},
		{"completion bash", []string{"complete -C heatherrouter"}},
		{"config publish --help", []string{"Examples:", "--wait-timeout"}},
		{"--help", []string{"Exit codes:", "config publish", "domain drain"}},
	}
	for _, tt := range tests {
		t.Run(tt.line, func(t *testing.T) {
			code, out, errs := f.run(t, true, tt.line)
			require.Empty(t, errs)
			require.Equal(t, cli.ExitOK, code)
			for _, w := range tt.want {
				require.Contains(t, out, w)
			}
		})
	}
}

func TestErrors(t *testing.T) {
	f := newFixture(t)
	write(t, "bad/heatherrouter.toml", "nam = 1\n")
	write(t, "wrong-key", "fedcba9876543210")
	write(t, "short-key", "x")
	code, _, errs := f.run(t, false, "config publish a")
	require.Equal(t, cli.ExitOK, code, errs)

	tests := []struct {
		name   string
		line   string
		faults []fake.Fault
		code   cli.Exit
		want   []string
	}{
		{"no such command", "config polish", nil, cli.ExitUsage, []string{"polish", "--help"}},
		{"nothing to publish", "config publish", nil, cli.ExitUsage, []string{"needs a DIR"}},
		{"bad address", "status --admin localhost", nil, cli.ExitUsage, []string{`--admin is "localhost"`}},
		{"unknown field", "status --json color", nil, cli.ExitUsage, []string{`no field "color"`, "config-rev"}},
		{"no file", "config check key/x", nil, cli.ExitFailure, []string{"key/x"}},
		{"findings", "config check bad a", nil, cli.ExitFindings, []string{"bad/heatherrouter.toml:1: nam: is no known setting", "Mend them"}},
		{"findings at publish", "config publish bad", nil, cli.ExitFindings, []string{"nothing was changed"}},
		{"findings of the daemon", "config publish --remove x", nil, cli.ExitFindings, []string{`no service "x" to remove`}},
		{"conflict", "config publish a --base 0", nil, cli.ExitConflict, []string{"revision 1 is in force, your change builds on revision 0", "service list"}},
		{"outage", "domain drain d1", []fake.Fault{fake.FaultOutage}, cli.ExitUnavailable, []string{"the table can't be reached", "Nothing was changed"}},
		{"not found", "service view x", nil, cli.ExitFailure, []string{`there is no service "x"`, "list command"}},
		{"not found drain", "domain drain d9", nil, cli.ExitFailure, []string{`there is no domain "d9"`}},
		{"short key", "domain drain d1 --key-file short-key", nil, cli.ExitFailure, []string{"at least 16 bytes"}},
		{"wrong key", "domain drain d1 --key-file wrong-key", nil, cli.ExitFailure, []string{"not the daemon's", "--key-file"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f.docs.Fail(tt.faults...)
			code, out, errs := f.runByEnv(t, tt.line)
			require.Empty(t, out)
			require.Equal(t, tt.code, code, errs)
			for _, w := range tt.want {
				require.Contains(t, errs, w)
			}
		})
	}
	require.Equal(t, 1, f.docs.Commits())
}

func TestUnreachable(t *testing.T) {
	f := newFixture(t)
	tests := []struct {
		line string
		code cli.Exit
		want string
	}{
		{"status", cli.ExitUsage, "no daemon to call"},
		{"server drain a/s --admin " + addr, cli.ExitUsage, "--key-file FILE"},
		{"status --admin " + dead, cli.ExitUnavailable, "does not answer"},
		{"status --admin " + other, cli.ExitUnavailable, "not a daemon that this client knows"},
		{"server drain a/s --key-file key --admin " + dead, cli.ExitUnavailable, "Nothing was changed"},
		{"server drain a/s --key-file key --admin " + other, cli.ExitUnavailable, "not a daemon that this client knows"},
		{"config publish a --base 0 --key-file key --admin " + other, cli.ExitUnknown, "outcome unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.line, func(t *testing.T) {
			code, _, errs := f.execute(t, false, tt.line)
			require.Equal(t, tt.code, code, errs)
			require.Contains(t, errs, tt.want)
		})
	}
}

func TestNoArgumentsShowHelp(t *testing.T) {
	f := newFixture(t)
	code, out, errs := f.execute(t, false, "")
	require.Equal(t, cli.ExitOK, code, errs)
	require.Contains(t, out, "Usage: heatherrouter <command>")
}

func TestStateDump(t *testing.T) {
	f := newFixture(t)
	code, out, errs := f.execute(t, false, "state dump --admin "+dead+" --admin "+addr)
	require.Equal(t, cli.ExitUnavailable, code)
	require.Contains(t, errs, dead)
	l := strings.Split(strings.TrimSpace(out), "\n")
	require.Len(t, l, 2)
	require.Contains(t, l[0], `"error":`)
	require.JSONEq(t, `{"admin":"`+addr+`","state":{"config-rev":0}}`, l[1])
}

// The table commits the publish and its reply is lost. The operator sees one publish that went well.
func TestPublishSettlesLostReply(t *testing.T) {
	f := newFixture(t)
	f.docs.Fail(fake.FaultLostReply)
	code, out, errs := f.run(t, false, "config publish a")
	require.Equal(t, cli.ExitOK, code, errs)
	require.Equal(t, "1\ta\tchanged\n", out)
	require.Equal(t, 1, f.docs.Commits())
}

// Two operators publish at once; the one who comes second is told both revisions, and nothing of the first's
// is overwritten.
func TestPublishRace(t *testing.T) {
	f := newFixture(t)
	write(t, "b/heatherrouter.toml", strings.Replace(file, "timeout = \"1s\"", "timeout = \"900ms\"", 1))
	f.docs.BeforeCommit(func() {
		code, _, errs := f.run(t, false, "config publish a")
		require.Equal(t, cli.ExitOK, code, errs)
	})
	code, out, errs := f.run(t, false, "config publish b")
	require.Equal(t, cli.ExitConflict, code)
	require.Empty(t, out)
	require.Contains(t, errs, "revision 1 is in force, your change builds on revision 0; nothing was changed")
	_, out, _ = f.run(t, false, "service view a --file")
	require.Equal(t, file, out)
}

// One daemon lags behind: the wait goes on until it has the revision too, or ends with its name and the word
// that the publish itself stands.
func TestPublishWait(t *testing.T) {
	f := newFixture(t)
	f.backend.SetLagging("hr-02")
	naps := 0
	f.clock.wake = func() {
		if naps++; naps == 3 {
			f.backend.SetLagging()
		}
	}
	code, _, errs := f.run(t, false, "config publish a --wait")
	require.Equal(t, cli.ExitOK, code, errs)
	require.Equal(t, 3, naps)

	f.backend.SetLagging("hr-02", "hr-03")
	code, out, errs := f.run(t, false, "config publish a --wait --wait-timeout 2s")
	require.Equal(t, cli.ExitFailure, code)
	require.Equal(t, "1\ta\tunchanged\n", out)
	require.Contains(t, errs, "revision 1 is accepted")
	require.Contains(t, errs, "missing at hr-02, hr-03")
}
