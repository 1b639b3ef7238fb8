package admin

import (
	"time"

	"heatherrouter/core/check"
	"heatherrouter/core/ident"
)

// Status sums up the daemon that answers and what it sees of the rest.
type Status struct {
	Daemon    ident.Daemon  `json:"daemon"`
	Domain    ident.Domain  `json:"domain"`
	Region    ident.Region  `json:"region"`
	Version   string        `json:"version"`
	Started   time.Time     `json:"started"`
	Ready     bool          `json:"ready"`
	Reason    string        `json:"reason,omitempty"` // why not ready, kebab case
	ConfigRev ident.Rev     `json:"config-rev"`
	TableOK   bool          `json:"table-ok"`
	Daemons   []Daemon      `json:"daemons"`
	Certs     []Certificate `json:"certificates"`
}

// Daemon is one daemon as the answering one sees it.
type Daemon struct {
	Name      ident.Daemon `json:"name"`
	Domain    ident.Domain `json:"domain"`
	Address   string       `json:"address"` // for peers
	State     State        `json:"state"`
	ConfigRev ident.Rev    `json:"config-rev"`
	Homes     int          `json:"homes"` // backend servers that it is home of
}

// Certificate is one certificate in use and when it expires.
type Certificate struct {
	File    string    `json:"file"`
	Subject string    `json:"subject"`
	Expires time.Time `json:"expires"`
}

// State tells whether something takes new work.
type State string

// The states of daemons, backend servers and failure domains.
const (
	StateActive  State = "active"
	StateDrained State = "drained" // by an operator
	StateLeaving State = "leaving" // by itself or the platform's list of hosts
	StateWarming State = "warming" // gets little work after a start
	StateSlow    State = "slow"    // straggler
	StateDown    State = "down"
)

// Service is one published service.
type Service struct {
	Name    ident.Service `json:"name"`
	Region  ident.Region  `json:"region"`
	Key     string        `json:"key"` // such as "path-segment 0", empty when unkeyed
	Shards  int           `json:"shards"`
	Servers int           `json:"servers"`
	Kinds   []Kind        `json:"kinds"`
	Rev     ident.Rev     `json:"rev"` // that last changed the file
	Path    string        `json:"path"`
	File    string        `json:"file,omitempty"` // only in the answer about one service
}

// Kind is the policy for one kind of request.
type Kind struct {
	Name         string   `json:"name"`
	Methods      []string `json:"methods"`
	Path         string   `json:"path"`
	Idempotent   bool     `json:"idempotent"`
	Timeout      string   `json:"timeout"`
	Priority     int      `json:"priority"`
	MayWait      bool     `json:"may-wait"`
	NeverDropped bool     `json:"never-dropped"`
	Streamed     bool     `json:"streamed"`
}

// Shard is one shard of a keyed service and who owns it.
type Shard struct {
	Service  ident.Service `json:"service"`
	Shard    ident.Shard   `json:"shard"`
	Server   ident.Server  `json:"server"`
	Epoch    ident.Epoch   `json:"epoch"`
	Previous ident.Server  `json:"previous,omitempty"` // last owner, until it has released the shard
	Home     ident.Daemon  `json:"home"`
}

// Server is one backend server.
type Server struct {
	Name     ident.Server `json:"name"`
	Domain   ident.Domain `json:"domain"`
	Address  string       `json:"address"`
	State    State        `json:"state"`
	Home     ident.Daemon `json:"home"`
	Epoch    ident.Epoch  `json:"epoch"`
	Shards   int          `json:"shards"`
	Slots    int          `json:"slots"`
	InFlight int          `json:"in-flight"`
	Queued   int          `json:"queued"`
	By       string       `json:"drained-by,omitempty"`
}

// Domain is one failure domain.
type Domain struct {
	Name    ident.Domain `json:"name"`
	State   State        `json:"state"`
	Servers int          `json:"servers"`
	Daemons int          `json:"daemons"`
	By      string       `json:"drained-by,omitempty"`
	Since   *time.Time   `json:"drained-since,omitempty"`
}

// ConfigRev answers which revision of the configuration the daemon holds.
type ConfigRev struct {
	Rev ident.Rev `json:"rev"`
}

// File is one service file.
type File struct {
	Path string `json:"path"`
	Body string `json:"body"`
}

// Publish asks to put service files into force in one transaction.
type Publish struct {
	Txn     ident.Txn       `json:"txn"`      // made by the client; the same one settles a lost reply
	BaseRev ident.Rev       `json:"base-rev"` // what the operator has seen; a newer one is a conflict
	Files   []File          `json:"files"`
	Remove  []ident.Service `json:"remove,omitempty"`
	By      string          `json:"by"`
	Again   bool            `json:"again,omitempty"` // an earlier attempt with the same id may have taken effect
}

func (q Publish) transaction() ident.Txn { return q.Txn }

// Published answers a Publish.
type Published struct {
	Rev     ident.Rev       `json:"rev"` // that is in force with these files
	Changed []ident.Service `json:"changed"`
	Removed []ident.Service `json:"removed"`
	Same    []ident.Service `json:"unchanged"`
}

// DrainKind says what a drain applies to.
type DrainKind string

// The kinds of drains.
const (
	DrainDomain DrainKind = "domain"
	DrainServer DrainKind = "server"
	DrainDaemon DrainKind = "daemon"
)

// Drain asks to drain or to restore a failure domain, a backend server or a daemon.
type Drain struct {
	Txn     ident.Txn `json:"txn"`
	BaseRev ident.Rev `json:"base-rev"` // what the client has seen; a newer one is a conflict
	Kind    DrainKind `json:"kind"`
	Name    string    `json:"name"`
	By      string    `json:"by"`
	Since   time.Time `json:"since,omitzero"`  // set by the client, so that a repeated call is the same; else now
	Again   bool      `json:"again,omitempty"` // an earlier attempt with the same id may have taken effect
}

func (q Drain) transaction() ident.Txn { return q.Txn }

// Drained answers a Drain.
type Drained struct {
	Rev     ident.Rev `json:"rev"`
	Changed bool      `json:"changed"` // false when it was so before
}

// InForce answers which daemons hold a revision of the configuration or a newer one.
type InForce struct {
	Rev      ident.Rev      `json:"rev"`
	Everyone bool           `json:"everyone"`
	Have     []ident.Daemon `json:"have"`
	Missing  []ident.Daemon `json:"missing"`
}

// Failure is the body of every answer that is no success.
type Failure struct {
	Reason   Reason         `json:"reason"`
	Message  string         `json:"message"`
	Conflict *ConflictError `json:"conflict,omitempty"`
	Findings []Finding      `json:"findings,omitempty"`
}

// Reason tells the kinds of failures apart.
type Reason string

// The reasons of failures.
const (
	ReasonBadRequest  Reason = "bad-request"
	ReasonNoKey       Reason = "operator-key-missing"
	ReasonWrongKey    Reason = "operator-key-wrong"
	ReasonNotFound    Reason = "not-found"
	ReasonMethod      Reason = "method-not-allowed"
	ReasonConflict    Reason = "conflict"
	ReasonFindings    Reason = "findings"
	ReasonUnavailable Reason = "unavailable"     // certain: nothing was changed
	ReasonUnknown     Reason = "outcome-unknown" // the change may have been made
	ReasonInternal    Reason = "internal"
)

// Finding is one finding with its place.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Key     string `json:"key"`
	Message string `json:"message"`
}

// FromFindings turns findings into their wire form.
func FromFindings(f check.Findings) []Finding {
	l := make([]Finding, len(f))
	for i, x := range f {
		l[i] = Finding{File: x.Place.File, Line: x.Place.Line, Key: x.Place.Key, Message: x.Message}
	}
	return l
}

// ToFindings is the reverse of FromFindings.
func ToFindings(l []Finding) check.Findings {
	f := make(check.Findings, len(l))
	for i, x := range l {
		f[i] = check.Finding{Place: check.Place{File: x.File, Line: x.Line, Key: x.Key}, Message: x.Message}
	}
	return f
}
