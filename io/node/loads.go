package node

import (
	"heatherrouter/core/loads"
	"heatherrouter/core/site"
)

// loadsState is the daemon's copy of the coordinator's view of the load of servers and services, as operators read it at /state.
type loadsState struct {
	Term     site.Term       `json:"term"`
	Sequence uint64          `json:"sequence"`
	AgeMS    int64           `json:"age-ms"` // since the coordinator last sent or confirmed it
	Services []loads.Summary `json:"services"`
}

// loadsState returns the state of the view, or nil if there is none.
func (n *Node) loadsState(s *site.Snapshot) *loadsState {
	v, age := n.feed.Loads()
	if v == nil {
		return nil
	}
	return &loadsState{Term: v.Stamp.Term, Sequence: v.Stamp.Sequence, AgeMS: age.Milliseconds(), Services: v.Summarize(s, age)}
}

// trackLoads adds the metrics of the view.
func (n *Node) trackLoads() error {
	if err := n.meter.Gauge("heatherrouter.loads.age", "s", "time since the coordinator last sent or confirmed the load of the servers; 0 if it never did",
		func() float64 {
			_, age := n.feed.Loads()
			return age.Seconds()
		}); err != nil {
		return err
	}
	return n.meter.Gauge("heatherrouter.servers.full", "{server}", "backend servers that have more than twice as many requests as slots, by the coordinator's view",
		func() float64 {
			v, age := n.feed.Loads()
			full := 0
			for _, x := range v.Summarize(n.feed.Snapshot(), age) {
				full += x.Full
			}
			return float64(full)
		})
}
