package send

import (
	"context"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/reach"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
)

// silentPaths is a Paths on which the servers don't accept connections.
type silentPaths struct {
	noPaths

	suspected bool // whether no server of any service answers
}

func (p silentPaths) State(*site.Server) (reach.State, reach.Failure) {
	return reach.Unreachable, reach.Silent
}
func (p silentPaths) Suspected(ident.Service) bool { return p.suspected }

// Guards against breaking off a request at which a busy server works because the server accepts no further connection.
func TestOnlyLostLinksEndWaitingRequests(t *testing.T) {
	for _, suspected := range []bool{false, true} {
		s := New(Options{Clock: clock.New(), Paths: silentPaths{suspected: suspected}})
		b := s.backend(&site.Server{ID: "a", Service: "s", Addr: netip.MustParseAddrPort("127.0.0.1:1")}, false)
		r := &request{route: &site.Route{Idempotent: true}, ctx: t.Context()}
		c, end := b.exchangeContext(r)
		b.requestSent(1) // long ago
		x, cancel := context.WithTimeout(t.Context(), 3*unansweredCheckInterval)
		require.NoError(t, s.checkUnanswered(x))
		cancel()
		require.Equal(t, suspected, c.Err() != nil)
		end()
	}
}
