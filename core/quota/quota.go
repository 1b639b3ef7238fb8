// Package quota enforces limits on the requests that all daemons send together. A limit applies to a Subject: the callers of
// an organisation, or one incarnation of a backend server.
//
// The coordinator's Ledger has one token bucket per subject and grants tokens to daemons. Each daemon keeps the tokens that
// it needs until its next Ask in a TokenCache and spends one per request. While the coordinator doesn't answer, a daemon sends
// at the fallback rate last granted to it. The coordinator counts this rate as sent while it receives no Ask from the daemon.
//
// Tokens held by daemons count as sent, so the limit of every window holds regardless of how the tokens are distributed.
package quota

import (
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/site"
)

// Subject identifies what a limit applies to.
type Subject string

// Policy defines how limits are enforced.
type Policy struct {
	Window    time.Duration // period over which requests are counted
	Overshoot float64       // share by which the limit of a window may be exceeded
	Slack     float64       // additional requests allowed per window

	// NoStock means that daemons get tokens for waiting requests only. The requests of all daemons are then as evenly spread
	// as the bucket allows, at the price of one exchange with the coordinator for each.
	NoStock bool

	// ReserveUnreported means that a part of each limit is reserved for daemons that have not reported to the coordinator in its
	// term. They may be cut off from it and sending at their fallback rates.
	ReserveUnreported bool

	// ScaleSent means that requests sent under a higher limit count in proportion to the new one when a limit is lowered.
	// Otherwise none would be sent until they have left the window.
	ScaleSent bool

	// UnassignedShare is the share of a limit that daemons to which the coordinator has never assigned a fallback rate may
	// use together while it doesn't answer.
	UnassignedShare float64
}

// slackShare is the share of the slack that is granted. The rest is reserved for requests sent without the coordinator.
const slackShare = 0.5

// maxRequests returns how many requests may be sent in a window.
func (p Policy) maxRequests(l site.Limit) float64 {
	return (l.Rate*p.Window.Seconds()+l.Burst)*(1+p.Overshoot) + p.Slack*slackShare
}

// Ask reports a daemon's token usage to the coordinator and requests more tokens.
type Ask struct {
	Incarnation ident.Incarnation
	Term        site.Term // term of the addressed coordinator
	Full        bool      // whether all changed subjects are included
	Entries     []Entry
}

// Entry is the part of an Ask about one subject. The coordinator ignores all but the newest one of an incarnation.
type Entry struct {
	Subject      Subject
	Seq          uint64
	Spent        int64   // requests sent by this incarnation, minus returned tokens
	Held         uint64  // unused tokens
	Waiting      uint64  // requests waiting for a token
	Want         uint64  // additional tokens for expected requests
	Rate         float64 // recent requests sent per second
	Demand       float64 // recent requests per second from callers
	FallbackRate float64 // requests per second allowed while no coordinator answers
	UnusedBurst  float64 // in the first entry for a new coordinator: unused FallbackBurst of earlier terms
	Recent       Recent  // in the first entry for a new coordinator: requests sent in the current window
}

// Answer is the coordinator's reply to an Ask.
type Answer struct {
	Term   site.Term
	Grants []Grant
}

// Grant is the answer to the Entry with the same Seq. The daemon ignores it after sending a newer Entry.
type Grant struct {
	Subject       Subject
	Seq           uint64
	Tokens        uint64
	FallbackRate  float64       // requests per second allowed while no coordinator answers
	FallbackBurst float64       // requests allowed at once while no coordinator answers
	Wait          time.Duration // from the sending of the answer, the minimum time before asking again; zero if all waiting requests got a token
	RetryAfter    time.Duration // retry delay for refused callers; zero if demand is within the subject's limit
}
