package ports

import (
	"net/netip"
	"time"

	"chivecroft.example/chivecroft/internal/state/config"
)

// Peers reaches the other entries.
type Peers interface {
	// Send sends one message and calls done exactly once, on any goroutine; it
	// never blocks.
	Send(to netip.AddrPort, msg PeerMessage, done func(PeerReply))
}

// PeerMessage is one of Gossip, FetchConfig, Demand, PullTable, YieldPermit,
// TargetNews, HandOver and TellCounts; each is answered by its own reply type.
type PeerMessage interface{ isPeerMessage() }

// PeerReply answers a PeerMessage; Err is set if the peer did not answer.
type PeerReply struct {
	// Msg is a Gossip, ConfigDelta, DemandReply, TableDelta, YieldReply,
	// TellReply or Ack.
	Msg any
	Err error
}

// MemberPhase is how an entry is seen by others.
type MemberPhase string

// The phases of a member.
const (
	// MemberAlive answers.
	MemberAlive MemberPhase = "alive"
	// MemberSilent has not answered for a while.
	MemberSilent MemberPhase = "silent"
	// MemberLeaving is finishing its work.
	MemberLeaving MemberPhase = "leaving"
	// MemberGone has left or was replaced.
	MemberGone MemberPhase = "gone"
)

// Member is one entry as the others know it.
type Member struct {
	ID string
	// Incarnation grows each time that the instance starts again.
	Incarnation uint64
	// Beat grows while the member is alive; a higher one is news.
	Beat          uint64
	Zone          string
	Region        string
	Addr          netip.AddrPort
	Phase         MemberPhase
	ConfigVersion config.Version
	// Shards are those of its zone that the member owns.
	Shards []int
}

// Gossip spreads membership and the configuration's version; it is answered
// by the other side's Gossip.
type Gossip struct {
	From    Member
	Members []Member
}

// FetchConfig asks for the patches after a version.
type FetchConfig struct{ After config.Version }

// ConfigDelta answers FetchConfig with patches in order, or with a whole
// configuration where the answering side no longer has the patches.
type ConfigDelta struct {
	Snapshot *config.Config
	Patches  []config.Patch
}

// Demand tells a shard's owner that callers wait for a model.
type Demand struct {
	Model   string
	Adapter string
	Class   config.Class
	// Waiting is how many callers wait at the sender.
	Waiting int
	// Within is the time left until the first of them gives up.
	Within time.Duration
	From   string
	Zone   string
	// Load bounds the load that the demand may begin.
	Load LoadReach
}

// LoadReach says from where a demand may have a model loaded.
type LoadReach string

// The reaches of a load.
const (
	// LoadAnywhere allows every load that does not cross the link between regions.
	LoadAnywhere LoadReach = ""
	// LoadCached allows a load where the checkpoint is cached in memory or on disk.
	LoadCached LoadReach = "cached"
	// LoadAcross allows a load over the link as well, if it ends in time.
	LoadAcross LoadReach = "across"
)

// DemandStatus says what became of a demand.
type DemandStatus string

// The answers to a demand.
const (
	// DemandAccepted means that a replica is loading or loaded.
	DemandAccepted DemandStatus = "accepted"
	// DemandQueued means that it will load when its turn comes.
	DemandQueued DemandStatus = "queued"
	// DemandRefused means that no replica will come; Reason says why.
	DemandRefused DemandStatus = "refused"
	// DemandElsewhere means that the receiver does not own the shard or holds
	// no permit; Hint may name who does.
	DemandElsewhere DemandStatus = "elsewhere"
)

// DemandReply answers a Demand.
type DemandReply struct {
	Status DemandStatus
	Reason string
	// ReadyIn estimates when a replica takes requests.
	ReadyIn time.Duration
	// RetryAfter tells a refused caller when to come back.
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
	// ReadyIn estimates the end of a load that runs.
	ReadyIn     time.Duration
	Adapters    []string
	Concurrency int
	Running     int
	Queued      int
	// Leaving means that the target takes no new work.
	Leaving bool
	// Reason says why a load failed.
	Reason string
}

// PullTable waits for changes of an entry's part of the routing table.
type PullTable struct {
	// After is the sequence number that the asker has; zero asks for everything.
	After uint64
	// Stream is the incarnation of the sequence that After belongs to.
	Stream uint64
	// Summary asks only for what other zones need.
	Summary bool
	Wait    time.Duration
}

// TableDelta answers PullTable.
type TableDelta struct {
	Stream uint64
	Seq    uint64
	// Full means that Replicas is everything and others are to be forgotten.
	Full     bool
	Replicas []Replica
	Removed  []string
}

// YieldPermit asks a shard's owner to give back an unused permit.
type YieldPermit struct {
	Resource string
	Shard    string
	Wanted   int
	// Waiting is how long the asker's callers have waited, by which the holder
	// compares them with its own.
	Waiting time.Duration
	// Patient asks the holder to keep the wish for a while if it uses all it has.
	Patient bool
}

// YieldReply answers YieldPermit.
type YieldReply struct{ Yielded int }

// DrainMark says what an operator wants with a target.
type DrainMark string

// The marks of an operator's drain.
const (
	// DrainNone means that no operator asked for anything.
	DrainNone DrainMark = ""
	// DrainBegin takes a target out of use.
	DrainBegin DrainMark = "begin"
	// DrainEnd takes it back into use.
	DrainEnd DrainMark = "end"
)

// TargetNews tells a shard's owner what an entry saw of a target, or what an
// operator wants with it; an empty Target stands for all targets of the zone.
type TargetNews struct {
	Target  string
	Leaving bool
	// Failing means that requests to it fail.
	Failing bool
	Drain   DrainMark
}

// HandOver tells an entry of the same zone that shards are free to be taken.
type HandOver struct {
	Shards []int
	From   string
}

// TellCounts tells a neighbour what an entry has counted, which it keeps in
// memory in case that the entry dies before it writes the counts down.
type TellCounts struct {
	Origin CountOrigin
	// Seq numbers the messages to one neighbour; a gap loses what was missed.
	Seq uint64
	// Whole means that Counts are all that the entry has counted.
	Whole bool
	// Exact means that the entry tells of each outcome before the answer ends.
	Exact  bool
	Counts []ToldCount
}

// CountOrigin is the entry that counted.
type CountOrigin struct {
	Instance    string
	Incarnation uint64
	Zone        string
	// Nonce is that of the entry's day rows.
	Nonce uint64
}

// ToldCount is the total of one counter. Its key travels with the first total
// that a neighbour gets, and later ones only name its number.
type ToldCount struct {
	ID    uint32
	Total uint64
	Key   *CountKey
}

// CountKey says what a counter counts, on one date.
type CountKey struct {
	Date    string
	Kind    string
	Service string
	Class   config.Class
	Reason  string
	NotRun  bool
}

// TellReply answers TellCounts; Resend asks for everything.
type TellReply struct{ Resend bool }

// Ack answers messages that need no more.
type Ack struct{}

func (Gossip) isPeerMessage()      {}
func (FetchConfig) isPeerMessage() {}
func (Demand) isPeerMessage()      {}
func (PullTable) isPeerMessage()   {}
func (YieldPermit) isPeerMessage() {}
func (TargetNews) isPeerMessage()  {}
func (HandOver) isPeerMessage()    {}
func (TellCounts) isPeerMessage()  {}
