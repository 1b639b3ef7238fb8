package stand_test

import (
	"testing"
	"time"
)

// silentWait is one probe period of an idle connection and a retry.
const silentWait = time.Second

// Every connection that the homes have open to a server of each service goes silent, both ways, while new ones work.
// Reads in flight are sent again on new connections, and idle ones are found by their probes; no reader sees a
// failure. A write in flight may have run: it is not sent again.
func TestSilentServerConns(t *testing.T) {
	bothKinds(t, func(t *testing.T, grants bool) {
		x := newSite(t, siteOptions{daemons: 3, domains: 3, servers: 2, grants: grants, server: work})
		l := x.startLoad(x.others()...)
		l.goOn(t, time.Second)
		x.keyed.Servers[0].Silence()
		x.unkeyed.Servers[0].Silence()
		l.goOn(t, 3*time.Second)
		l.check(t, silentWait)
	})
}
