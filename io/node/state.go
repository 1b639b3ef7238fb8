package node

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/valyala/fasthttp"

	"heatherrouter/core/buffer"
	"heatherrouter/core/descr"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/site"
	"heatherrouter/io/guard"
	"heatherrouter/io/limit"
	"heatherrouter/io/paths"
	"heatherrouter/io/send"
)

// stateDump is the JSON document that operators read at /state.
type stateDump struct {
	Daemon                  ident.Daemon                  `json:"daemon"`
	Domain                  ident.Domain                  `json:"domain"`
	Ready                   bool                          `json:"ready"`
	Version                 site.Version                  `json:"configuration"`
	ConfigFindings          []string                      `json:"config-findings"` // entries that are unknown or refused
	ConfigRejected          string                        `json:"config-rejected"` // error of the newest row if it isn't in force
	Coordinator             site.Coordinator              `json:"coordinator"`
	Voters                  []ident.Daemon                `json:"voters"`
	CopyAgeMS               int64                         `json:"copy-age-ms"`
	CoordinatorContactAgeMS int64                         `json:"coordinator-heard-ms"`
	Evacuated               []ident.Domain                `json:"evacuated"`
	Daemons                 []ident.Daemon                `json:"daemons"`
	Servers                 map[ident.Server]site.Server  `json:"servers"`
	Holds                   map[ident.Service][]hold.Hold `json:"holds"`
	Limits                  []limit.State                 `json:"organisations"`
	Crashes                 []guard.State                 `json:"crashes"` // requests that were in progress when servers crashed
	Unreachable             []paths.Status                `json:"unreachable-servers"`
	ServerLimits            []limit.ServerState           `json:"server-limits"`   // backend servers that name a limit
	Backoffs                []limit.BackoffState          `json:"server-backoffs"` // backend servers that requested backoff
	ServerLoads             *loadsState                   `json:"server-loads"`    // null before the coordinator sent any
	Shares                  []send.ShareState             `json:"shares"`          // services that are short of capacity
	RetryBudgets            []send.BudgetState            `json:"retry-budgets"`
	Sockets                 descr.State                   `json:"sockets"`
	OpenRequests            int                           `json:"open-requests"`
	Waiting                 int                           `json:"waiting-requests"`
	Connections             int                           `json:"caller-connections"`
	Buffers                 *buffer.State                 `json:"buffers,omitempty"` // absent without a memory limit
}

func (n *Node) handleState(x *fasthttp.RequestCtx) {
	s := n.feed.Snapshot()
	copyAge, contactAge := n.feed.Ages()
	d := stateDump{
		Daemon: n.o.Settings.Name, Domain: n.o.Settings.Domain, Ready: n.Ready(), Coordinator: s.Coordinator, Voters: s.Voters,
		CopyAgeMS: copyAge.Milliseconds(), CoordinatorContactAgeMS: contactAge.Milliseconds(), Evacuated: slices.Sorted(maps.Keys(s.Evacuated)),
		Daemons: slices.Sorted(maps.Keys(s.Daemons)), Servers: map[ident.Server]site.Server{},
		Limits: n.limiter.States(), Crashes: n.guard.States(), Unreachable: n.paths.Statuses(), ServerLimits: n.reports.States(), Backoffs: n.reports.BackoffStates(),
		ServerLoads: n.loadsState(s), Shares: n.sender.ShareStates(), RetryBudgets: n.sender.BudgetStates(),
		ConfigFindings: []string{},
		Sockets:        n.sockets.State(),
		OpenRequests:   n.front.OpenRequests(), Waiting: n.sender.Waiting(), Connections: n.front.OpenConns(),
	}
	if n.memory != nil {
		b := n.memory.State()
		d.Buffers = &b
	}
	if s.Config != nil {
		d.Version, d.ConfigFindings = s.Config.Version, s.Config.Findings.Texts()
	}
	if s.Rejected != nil {
		d.ConfigRejected = s.Rejected.Error()
	}
	for id, v := range s.Servers {
		d.Servers[id] = *v
	}
	if h := n.feed.Holds(); h != nil {
		d.Holds = h.Services
	}
	b, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		x.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	x.SetContentType("application/json")
	x.SetBody(b)
}
