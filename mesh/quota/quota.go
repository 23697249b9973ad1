package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Shards is the number of groups of tenants; each group has one owner. All nodes must use the same number.
const Shards = 4

// ID identifies a tenant in messages. It is a hash of the name, so that nodes with different configurations agree on it.
type ID uint32

// Identify returns the identifier and the shard of the tenant with the name.
func Identify(name string) (ID, uint8) {
	h := xxhash.Sum64String(name)
	return ID(h >> 32), uint8(h % Shards)
}

// Limit is the limit of one tenant on all nodes together.
type Limit struct {
	Name  string
	Rate  float64 // requests a second
	Burst float64 // requests beyond the rate
}

// Parts of the excess that the bound allows beyond rate and burst. The rest covers nodes that start before others count
// them, and so use a larger share than theirs for a moment.
const (
	burstPart  = 0.4
	returnPart = 0.2
)

// Bounds describe what all nodes together may run in a window: (rate * Window + burst) * (1 + Overage) + Slack.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// excess returns the requests that the bound allows in a window beyond rate and burst.
func (b Bounds) excess(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*b.Overage + b.Slack
}

// Stock returns the largest number of tokens of the tenant that may be unused at one time, over all nodes. It exceeds
// the burst, as tokens lie at several nodes and count as unused until their use is reported.
func (b Bounds) Stock(l Limit) float64 { return l.Burst + burstPart*b.excess(l) }

// Returns returns the number of tokens that may be credited within ReturnTerm for requests that did not run.
func (b Bounds) Returns(l Limit) float64 { return returnPart * b.excess(l) }

// Limits of the periods, and their largest parts of the window of the bound.
const (
	maxShareTerm  = 2 * time.Second
	maxTokenTerm  = time.Second
	maxInterval   = 500 * time.Millisecond
	shareFraction = 0.4
	tokenFraction = 5
	// lastFraction leaves time for the way of a grant from another region.
	lastFraction = 3
	// intervalFraction leaves time for a lost report before the use of a share ends.
	intervalFraction = 10
)

// ReturnTerm is the longest time after which the token of a request that did not run is credited.
const ReturnTerm = time.Second

// Terms are the periods of shares and tokens. All nodes of a mesh must use the same window.
type Terms struct {
	Share    time.Duration // from a report until the share in it may be used again by the node that lent it
	Token    time.Duration // from a report until the tokens granted for it expire
	Last     time.Duration // the same for tokens of an owner that stops soon
	Interval time.Duration // between two reports
}

// Terms returns the periods, which are short against the window.
func (b Bounds) Terms() Terms {
	token := min(maxTokenTerm, b.Window/tokenFraction)
	return Terms{
		Share: min(maxShareTerm, time.Duration(shareFraction*float64(b.Window))), Token: token, Last: token / lastFraction,
		Interval: min(maxInterval, b.Window/intervalFraction),
	}
}

// Report is what a node sends to the owner of a shard. Stamps are microseconds of the sender's clock.
type Report struct {
	_                struct{} `cbor:",toarray"`
	Shard            uint8
	Incarnation      uint64 // of the reporting process
	Stamp            uint64 // when the report was made
	OwnerIncarnation uint64 // of the owner whose grant arrived last, or 0
	Echo             uint64 // the stamp of that grant
	Lent             uint32 // the node lends 1/Lent of each limit; 0 if it lends nothing
	NodeCount        uint32 // the number of nodes among which limits are divided, or 0 if the node does not know it
	Idle             uint32 // milliseconds for which nobody has used the share, if it is lent for the first time after a start of all nodes
	Needs            []Need
}

// Need is what a node needs of one tenant's tokens.
type Need struct {
	_        struct{} `cbor:",toarray"`
	ID       ID
	Waiting  uint32 // requests that wait for a token
	Want     uint32 // tokens that the node needs until the next grant, including those it holds and for those that wait
	Held     uint32 // tokens that it holds, of all grants up to the echoed one
	Unused   uint32 // tokens that it gave up since the last report
	Returned uint32 // tokens of requests that did not run, since the last report
	Rate     uint32 // requests a second that arrive, in thousandths
}

// Grant is the owner's response to a report.
type Grant struct {
	_           struct{} `cbor:",toarray"`
	Shard       uint8
	Incarnation uint64 // of the owner's process
	Stamp       uint64 // when the grant was made
	Reporter    uint64 // incarnation of the process whose report this responds to
	Echo        uint64 // the stamp of that report
	NodeCount   uint32 // as in Report
	Released    bool   // the owner stops and uses no share any more
	Term        uint32 // milliseconds of validity of tokens of an owner that stops soon; 0 for the usual term
	Gifts       []Gift
}

// Gift is the part of a grant for one tenant.
type Gift struct {
	_       struct{} `cbor:",toarray"`
	ID      ID
	Tokens  uint32
	Renewed bool   // the tokens that the node held before are valid as long as these
	Wait    uint32 // milliseconds for which the owner has nothing more for this node
	Rate    uint32 // tokens a second that this node gets at present, in thousandths, if Wait is not 0
}
