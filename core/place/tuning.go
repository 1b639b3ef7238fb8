package place

import "time"

// Waiting times. Each is long enough that common short faults cause no change.
const (
	firstWait       = 2 * time.Second         // from the first plan to the first assignment
	unknownWait     = 2 * time.Second         // from the first plan, for daemons of the part without any contact
	recentWait      = 15 * time.Second        // a daemon unresponsive for longer is no sign of isolation
	isolatedWait    = 5 * time.Second         // without contact to most daemons, until they are replaced
	downWait        = 700 * time.Millisecond  // from the first report of down, until the shards move
	upWait          = time.Second             // from the first report of up, until the server counts as up
	slowWait        = 10 * time.Second        // a straggler, until its shards move
	fastWait        = 30 * time.Second        // a former straggler, until shards move back
	reportWait      = 3 * time.Second         // a report older than this is ignored
	removeWait      = 5 * time.Second         // a draining server that left the config, until its row is removed
	settleWait      = 2 * time.Second         // released shards wait this long for the rest, to share a transaction
	witnessWait     = 5 * time.Second         // an unresponsive witness, until it is replaced
	witnessLastWait = 1500 * time.Millisecond // the same if one more failed witness would stop all leases
	growWait        = 3 * time.Second         // a new daemon, until it may bring the witnesses to five
	spreadWait      = 30 * time.Second        // a new daemon, until it may improve the distribution of witnesses
	standbyWait     = 5 * time.Second         // an unresponsive standby, until it is replaced
	unheldDoubles   = 6                       // doublings of unheldWait at most, while new epochs don't help
	unheldWait      = 3 * time.Second         // a lease without holder, until the home gets a new epoch
	homeWait        = 10 * time.Second        // between two moves of homes for a better distribution
)

// Churn of shards.
const (
	holdWait         = 60 * time.Second // a moved shard stays for this long, unless its owner fails
	balanceCheckWait = time.Second      // between two checks of the balance that find nothing to do
	balanceWait      = 5 * time.Second  // between two rounds of balancing, so that rates show the last one
	movedWait        = 3 * time.Second  // after a move, until the two servers' reports cover the new shards only
	newHomeWait      = 10 * time.Second // after a change of a server's home, until the new home's rates are used
	rampStep         = 5 * time.Second  // a returning server gets another quarter of its share after each
	rampSteps        = 4
	rampFirst        = 1.0 / 16         // share before the first step: admission limits a cold server, and keys bring their load
	flapWait         = 10 * time.Second // a server that soon failed again waits this long, doubled with each failure
	flapWindow       = 2 * time.Minute  // failures further apart than this are not counted together
	flapDoubles      = 5                // doublings of flapWait at most
	churnShare       = 0.10             // of all shards a minute may be moved for balance alone
	evacuateStep     = 64               // shards of draining and slow servers in one transaction
)

// Balance, as shares of the mean load.
const (
	highStart = 0.08 // balancing starts when a server is this much above its share
	lowStart  = 0.15 // or a server is this much below
	highStop  = 0.02 // balancing stops when all are less than this much above
	lowStop   = 0.05 // and less than this much below
	noiseGate = 2.5  // standard deviations of the measured rate that a difference must exceed
	largeMove = 0.9  // share of the gap between two servers that one shard may close at most
	smallMove = 0.02 // and must close at least
	maxSlow   = 3    // at most one of this many servers is treated as a straggler
)

// Estimates of rates.
const (
	rateWindow = 10 * time.Second // time constant of the moving mean
	baseRate   = 0.02             // requests/s taken for a shard that has none, so that idle shards are distributed too
)

// Sizes.
const (
	witnessCount = 5
	homeCap      = 2 // times the even share of homes that one daemon may have for locality
)
