package grant

import (
	"syscall"
	"testing"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/admit"
	"heatherrouter/core/hold"
	"heatherrouter/core/retry"
	"heatherrouter/io/conns"
)

// speaker takes a 400 for the answer of a server that holds no keys.
type speaker struct{}

func (speaker) Grant(*fasthttp.Request, hold.Grant)     {}
func (speaker) Release(*fasthttp.Request, hold.Release) {}
func (speaker) Handover(*fasthttp.Response) string      { return "h" }
func (speaker) Foreign(r *fasthttp.Response) bool       { return r.StatusCode() == fasthttp.StatusBadRequest }

// Two servers hold one key, each of them working on it. A failure domain is cut off by something that refuses connections
// in the name of its servers; the coordinator outside takes them for ended and gives their keys on, while daemons inside
// still send to them. Only what a server itself has answered may end a life.
func TestWhatEndsALife(t *testing.T) {
	refused := conns.Result{
		Outcome: retry.NotRun, End: admit.EndNoDial, Err: trace.Wrap(syscall.ECONNREFUSED, "dial"),
	}
	answered := conns.Result{Outcome: retry.Answered, End: admit.EndAnswered}
	tests := []struct {
		name   string
		o      hold.Order
		r      conns.Result
		status int
		want   hold.Outcome
	}{
		{"a grant refused", hold.Grant{}, refused, 0, hold.NotSent},
		{"a release refused", hold.Release{}, refused, 0, hold.NotSent},
		{"no answer", hold.Grant{}, conns.Result{Outcome: retry.Unknown, End: admit.EndReset, Err: syscall.ECONNRESET}, 0, hold.Silent},
		{"another server's address", hold.Grant{}, answered, fasthttp.StatusMisdirectedRequest, hold.Ended},
		{"a release at a server that holds no keys", hold.Release{}, answered, fasthttp.StatusBadRequest, hold.Ended},
		{"a grant that is refused as malformed", hold.Grant{}, answered, fasthttp.StatusBadRequest, hold.Silent},
		{"accepted", hold.Release{}, answered, fasthttp.StatusOK, hold.Accepted},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			g := New(Options{Speaker: speaker{}})
			resp := &fasthttp.Response{}
			resp.SetStatusCode(x.status)
			require.Equal(t, x.want, g.result(x.o, x.r, resp).Outcome)
		})
	}
}
