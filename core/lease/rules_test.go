package lease_test

import "heatherrouter/core/lease"

// rule is one rule that the model can go without. Rules of the witness are taken out inside it, the others at the
// place where the daemon or the backend server keeps them.
type rule int

const (
	lapse rule = iota
	quiet
	olderEpochs
	oneDaemon
	incarnationWaits
	stoppedByHolder
	retiredRefuses
	retiredClear
	startRetired
	lapseDrift
	fromSent
	startRead
	bothMajorities
	retireOld
	settleWait
	ownEpochs
	recheck
	withinLease
	stampTime
	stampLife
	release
	inFlight
	recorded
	floor
	moveOnce
	compareAndSet
	nRules
)

var ruleNames = [nRules]string{
	lapse:            "a witness waits for the lapse of the last lease",
	quiet:            "a started witness is quiet for a lease",
	olderEpochs:      "a witness refuses older epochs",
	oneDaemon:        "a witness gives one epoch to one daemon",
	incarnationWaits: "a witness lets another life of the holder wait",
	stoppedByHolder:  "only the holder's word ends a lease",
	retiredRefuses:   "a retired witness refuses older copies",
	retiredClear:     "a retired witness waits for the lapse of its last lease",
	startRetired:     "a witness that starts during a change starts retired",
	lapseDrift:       "a witness waits for the drift of the clocks",
	fromSent:         "a holder counts from when it sent",
	startRead:        "a started witness reads the table first",
	bothMajorities:   "a change of witnesses takes both majorities",
	retireOld:        "a change settles once a majority has retired",
	settleWait:       "a change settles a lease after that",
	ownEpochs:        "a new assignment skips the standby's epoch",
	recheck:          "the lease is checked right before the send",
	withinLease:      "a deadline is within the lease",
	stampTime:        "a deadline is a reading of the server's clock",
	stampLife:        "a deadline holds for one life of the server",
	release:          "an owner waits for the release",
	inFlight:         "what is in flight holds back the release",
	recorded:         "a release waits until its revision is recorded",
	floor:            "a holder heeds the recorded revision",
	moveOnce:         "a shard moves on only when released",
	compareAndSet:    "a write is a compare-and-set",
}

func (r rule) String() string { return ruleNames[r] }

// witness returns the rule as one of the witness's own.
func (r rule) witness() (lease.Rule, bool) {
	switch r {
	case lapse:
		return lease.RuleLapse, true
	case quiet:
		return lease.RuleQuiet, true
	case olderEpochs:
		return lease.RuleOlder, true
	case oneDaemon:
		return lease.RuleOneDaemon, true
	case incarnationWaits:
		return lease.RuleIncarnation, true
	case stoppedByHolder:
		return lease.RuleStopped, true
	case retiredRefuses:
		return lease.RuleRetired, true
	case retiredClear:
		return lease.RuleClear, true
	}
	return 0, false
}

// shows lists the rules, or pairs of them, whose absence the model shows, with a seed that does.
var shows = []struct {
	rules []rule
	seed  int
}{
	{[]rule{lapse}, 2},
	{[]rule{quiet}, 30},
	{[]rule{olderEpochs}, 44},
	{[]rule{incarnationWaits}, 6},
	{[]rule{stoppedByHolder}, 21},
	{[]rule{retiredRefuses}, 51},
	{[]rule{retiredClear}, 302},
	{[]rule{lapseDrift}, 137},
	{[]rule{fromSent}, 70},
	{[]rule{bothMajorities}, 43},
	{[]rule{retireOld}, 9},
	{[]rule{settleWait}, 302},
	{[]rule{ownEpochs}, 509},
	{[]rule{withinLease}, 8},
	{[]rule{stampTime}, 23},
	{[]rule{stampLife}, 136},
	{[]rule{release}, 7},
	{[]rule{inFlight}, 7},
	{[]rule{recorded}, 515},
	{[]rule{floor}, 16},
	{[]rule{moveOnce}, 957},
	{[]rule{compareAndSet}, 16},
}

// silent lists the rules whose absence no schedule has shown.
var silent = []rule{
	oneDaemon,    // the table's epochs are never given twice, and the wait for the lapse holds for any other daemon
	startRead,    // takes a majority of restarted witnesses that all hear first from a daemon with an old copy
	startRetired, // takes a restart between the retirement and a settling that comes more than a lease later
	recheck,      // the deadline that travels with the request refuses it at the server
}
