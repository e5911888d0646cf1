package ports

import (
	"net/netip"
	"time"

	"chivecroft.example/chivecroft/internal/state/config"
)

// Peers sends messages to the other entries.
type Peers interface {
	// Send sends one message and calls done exactly once, on any goroutine. It does not
	// block.
	Send(to netip.AddrPort, msg PeerMessage, done func(PeerReply))
}

// PeerMessage is one of Gossip, FetchConfig, Demand, PullTable, YieldPermit,
// TargetNews, HandOver and TellCounts. Each has a reply type, named at PeerReply.Msg.
type PeerMessage interface{ isPeerMessage() }

// PeerReply is the reply to a PeerMessage; Err is set if the peer did not reply.
type PeerReply struct {
	// Msg is a Gossip, ConfigDelta, DemandReply, TableDelta, YieldReply,
	// TellReply or Ack.
	Msg any
	Err error
}

// MemberPhase is the state of an entry as seen by others.
type MemberPhase string

// The phases of a member.
const (
	// MemberAlive means that the entry replies to messages.
	MemberAlive MemberPhase = "alive"
	// MemberSilent means that the entry has not replied for some time.
	MemberSilent MemberPhase = "silent"
	// MemberLeaving means that the entry is finishing its work before it shuts down.
	MemberLeaving MemberPhase = "leaving"
	// MemberGone means that the entry has left or was replaced.
	MemberGone MemberPhase = "gone"
)

// Member is an entry as known to the others.
type Member struct {
	ID string
	// Incarnation increases with each restart of the instance.
	Incarnation uint64
	// Beat is a heartbeat counter that increases while the member is alive. A record with
	// a higher one is more recent.
	Beat          uint64
	Zone          string
	Region        string
	Addr          netip.AddrPort
	Phase         MemberPhase
	ConfigVersion config.Version
	// Shards are the shards of its zone that the member owns.
	Shards []int
}

// Gossip exchanges the membership and the configuration's version. The reply is the Gossip
// of the other side.
type Gossip struct {
	From    Member
	Members []Member
}

// FetchConfig requests the configuration patches after a version.
type FetchConfig struct{ After config.Version }

// ConfigDelta is the reply to FetchConfig: the patches in order, or the full configuration
// if the replying entry no longer has the patches.
type ConfigDelta struct {
	Snapshot *config.Config
	Patches  []config.Patch
}

// Demand tells a shard's owner that callers wait for a model.
type Demand struct {
	Model   string
	Adapter string
	Class   config.Class
	// Waiting is the number of callers who wait at the sender.
	Waiting int
	// Within is the time until the first of them gives up.
	Within time.Duration
	From   string
	Zone   string
	// Load restricts the loads that the demand may cause.
	Load LoadReach
}

// LoadReach restricts from where the checkpoint may be read for a demand.
type LoadReach string

// The restrictions of a load.
const (
	// LoadAnywhere allows all loads that do not cross the link between regions.
	LoadAnywhere LoadReach = ""
	// LoadCached allows loads at targets that have the checkpoint cached in memory or on
	// disk.
	LoadCached LoadReach = "cached"
	// LoadAcross also allows loads over the link, if they end in time.
	LoadAcross LoadReach = "across"
)

// DemandStatus is the outcome of a demand.
type DemandStatus string

// The outcomes of a demand.
const (
	// DemandAccepted means that a replica is loading or loaded.
	DemandAccepted DemandStatus = "accepted"
	// DemandQueued means that the load of a replica is queued.
	DemandQueued DemandStatus = "queued"
	// DemandRefused means that no replica will be loaded; Reason says why.
	DemandRefused DemandStatus = "refused"
	// DemandElsewhere means that the receiver does not own the shard or has no permit;
	// Hint may name who does.
	DemandElsewhere DemandStatus = "elsewhere"
)

// DemandReply is the reply to a Demand.
type DemandReply struct {
	Status DemandStatus
	Reason string
	// ReadyIn is the estimated time until a replica accepts requests.
	ReadyIn time.Duration
	// RetryAfter is the time after which a refused caller may try again.
	RetryAfter time.Duration
	Hint       string
}

// Replica is one row of the routing table.
type Replica struct {
	ID       string
	Model    string
	Revision string
	Target   string
	Addr     netip.AddrPort
	Zone     string
	Region   string
	Shard    int
	Phase    ReplicaPhase
	// ReadyIn is the estimated time until a load in progress ends.
	ReadyIn     time.Duration
	Adapters    []string
	Concurrency int
	Running     int
	Queued      int
	// Leaving means that the target accepts no new requests.
	Leaving bool
	// Reason is the reason why a load failed.
	Reason string
}

// PullTable requests changes of the receiver's part of the routing table (long poll).
type PullTable struct {
	// After is the latest sequence number that the sender has; zero requests all rows.
	After uint64
	// Stream identifies the sequence to which After belongs; a restarted sequence has
	// another one.
	Stream uint64
	// Summary requests only the rows that other zones need.
	Summary bool
	// Wait is the maximum time to wait for a change.
	Wait time.Duration
}

// TableDelta is the reply to PullTable.
type TableDelta struct {
	Stream uint64
	Seq    uint64
	// Full means that Replicas is the full list: the receiver removes all others.
	Full     bool
	Replicas []Replica
	Removed  []string
}

// YieldPermit requests that the owner of a shard release unused permits of a resource.
type YieldPermit struct {
	Resource string
	Shard    string
	Wanted   int
	// Waiting is the time for which the sender's callers have waited. The receiver
	// compares it with that of its own callers.
	Waiting time.Duration
	// Patient requests that the receiver keep the request for some time if it uses all
	// of its permits.
	Patient bool
}

// YieldReply is the reply to YieldPermit with the number of permits released.
type YieldReply struct{ Yielded int }

// DrainMark is an operator's request to begin or end the draining of a target.
type DrainMark string

// The values of DrainMark.
const (
	// DrainNone means that there is no such request.
	DrainNone DrainMark = ""
	// DrainBegin takes a target out of use.
	DrainBegin DrainMark = "begin"
	// DrainEnd puts it back into use.
	DrainEnd DrainMark = "end"
)

// TargetNews informs a shard's owner of what an entry has observed about a target, or of an
// operator's drain request. An empty Target means all targets of the zone.
type TargetNews struct {
	Target  string
	Leaving bool
	// Failing means that requests to the target fail.
	Failing bool
	Drain   DrainMark
}

// HandOver informs an entry of the same zone that shards have no owner and may be acquired.
type HandOver struct {
	Shards []int
	From   string
}

// TellCounts replicates the counters of an entry to a neighbour, which keeps them in memory
// in case the entry crashes before it has written them.
type TellCounts struct {
	Origin CountOrigin
	// Seq is the number of the message to this neighbour. After a gap, the receiver
	// lacks the counts of the missing messages and replies with Resend.
	Seq uint64
	// Whole means that Counts contains all counters of the entry.
	Whole bool
	// Exact means that the entry replicates each outcome before the end of the response.
	Exact  bool
	Counts []ToldCount
}

// CountOrigin identifies the entry to which the counters belong.
type CountOrigin struct {
	Instance    string
	Incarnation uint64
	Zone        string
	// Nonce is the nonce of the entry's day rows.
	Nonce uint64
}

// ToldCount is the total of one counter. The first one sent to a neighbour includes the
// counter's key; later ones only contain its ID.
type ToldCount struct {
	ID    uint32
	Total uint64
	Key   *CountKey
}

// CountKey identifies a counter: what it counts, and on which date.
type CountKey struct {
	Date    string
	Kind    string
	Service string
	Class   config.Class
	Reason  string
	NotRun  bool
}

// TellReply is the reply to TellCounts; Resend requests all counters.
type TellReply struct{ Resend bool }

// Ack is the reply to messages that need no other reply.
type Ack struct{}

func (Gossip) isPeerMessage()      {}
func (FetchConfig) isPeerMessage() {}
func (Demand) isPeerMessage()      {}
func (PullTable) isPeerMessage()   {}
func (YieldPermit) isPeerMessage() {}
func (TargetNews) isPeerMessage()  {}
func (HandOver) isPeerMessage()    {}
func (TellCounts) isPeerMessage()  {}
