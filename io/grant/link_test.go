package grant

import (
	"syscall"
	"testing"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/admit"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/report"
	"heatherrouter/core/retry"
	"heatherrouter/io/conns"
)

type fakeCodec struct{}

func (fakeCodec) Grant(*fasthttp.Request, hold.Grant)     {}
func (fakeCodec) Release(*fasthttp.Request, hold.Release) {}
func (fakeCodec) Health(*fasthttp.Request, string)        {}
func (fakeCodec) ReadHealth(*fasthttp.Response, ident.Server) (report.Health, bool) {
	return report.Health{}, false
}
func (fakeCodec) Handover(*fasthttp.Response) string { return "h" }

// Guards against two servers that work on the same key. A failure domain is isolated by a device that refuses connections
// for its servers. If the coordinator outside took these servers for ended, it would grant their keys to others while
// daemons inside still send to them. Only a response of a server itself may end an incarnation.
func TestOnlyServerResponsesEndIncarnation(t *testing.T) {
	refused := conns.Result{
		Outcome: retry.NotRun, End: admit.EndDialFailed, Err: trace.Wrap(syscall.ECONNREFUSED, "dial"),
	}
	answered := conns.Result{Outcome: retry.Answered, End: admit.EndAnswered, Fresh: true}
	identified := conns.Result{Outcome: retry.Answered, End: admit.EndAnswered, Identified: true}
	unidentified := conns.Result{Outcome: retry.Answered, End: admit.EndAnswered}
	tests := []struct {
		name   string
		o      hold.Order
		r      conns.Result
		status int
		want   hold.Outcome
	}{
		{"grant, connection refused", hold.Grant{}, refused, 0, hold.NotSent},
		{"release, connection refused", hold.Release{}, refused, 0, hold.NotSent},
		{"connection reset", hold.Grant{}, conns.Result{Outcome: retry.Unknown, End: admit.EndReset, Err: syscall.ECONNRESET}, 0, hold.Silent},
		{"address used by another server", hold.Grant{}, answered, fasthttp.StatusMisdirectedRequest, hold.Ended},
		{"release rejected as malformed", hold.Release{}, answered, fasthttp.StatusBadRequest, hold.Silent},
		{"grant rejected as malformed", hold.Grant{}, answered, fasthttp.StatusBadRequest, hold.Silent},
		{"accepted", hold.Release{}, answered, fasthttp.StatusOK, hold.Accepted},
		{"release, response with its id", hold.Release{}, identified, fasthttp.StatusOK, hold.Accepted},
		{"release, response may be another order's", hold.Release{}, unidentified, fasthttp.StatusOK, hold.Silent},
		{"release, end may be another order's", hold.Release{}, unidentified, fasthttp.StatusMisdirectedRequest, hold.Silent},
		{"grant, end may be another order's", hold.Grant{}, unidentified, fasthttp.StatusMisdirectedRequest, hold.Silent},
		{"grant, response with its id", hold.Grant{}, identified, fasthttp.StatusMisdirectedRequest, hold.Ended},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			g := New(Options{OrderCodec: fakeCodec{}})
			resp := &fasthttp.Response{}
			resp.SetStatusCode(x.status)
			require.Equal(t, x.want, g.result(x.o, x.r, resp).Outcome)
		})
	}
}
