package params

import (
	"net/netip"
	"time"
)

// Settings are the checked settings of an entry.
type Settings struct {
	Entry     Entry
	Callers   Listener
	Operators Operators
	Peers     Listener
	// Seeds are peers to ask for members while the instance list is not there.
	Seeds    []netip.AddrPort
	Platform Platform
	Link     Link
	Control  Control
	Policy   Policy
	Requests Requests
	Log      Log
}

// Entry says which instance this is.
type Entry struct {
	ID     string
	Zone   string
	Region string
	// Location is the deployment's time zone, in which a day begins.
	Location *time.Location
	// DaysKept is how many days the day page can go back.
	DaysKept int
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration
}

// Listener is an address to listen on, with TLS where files are given.
type Listener struct {
	Listen netip.AddrPort
	// Advertise is the address that others use, Listen where it is not set.
	Advertise netip.AddrPort
	TLSCert   string
	TLSKey    string
	// TLSCA verifies the other side; with it TLS is mutual.
	TLSCA string
}

// TLS tells whether the listener uses TLS.
func (l Listener) TLS() bool {
	return l.TLSCert != ""
}

// Operators is the operators' listener and the keys that it accepts.
type Operators struct {
	Listener
	// KeyHashes are lower-case hex SHA-256 sums of operator keys.
	KeyHashes []string
}

// Platform says where the platform's services are and what they allow.
type Platform struct {
	URL            string
	Timeout        time.Duration
	ListEvery      time.Duration
	StoreSlots     int
	AdapterLoads   int
	LeaseTTL       time.Duration
	ReportInterval time.Duration
	// StoreRegion is where the weight store stands, empty if it is equally far
	// from everywhere.
	StoreRegion string
}

// Link says what the entries may use of the link between regions.
type Link struct {
	// BitsPerSecond is what each direction carries, 0 for no limit.
	BitsPerSecond int64
	// Share is the part of it that the entries of all regions may use together.
	Share float64
}

// Control is the size of a zone's control.
type Control struct {
	// Shards is the number of shards of each zone; it is the same on every entry.
	Shards int
}

// Policy weighs the two figures that a deployment measures.
type Policy struct {
	ColdStartWeight float64
	IdleHoursWeight float64
	KeepAlive       time.Duration
	// Plain selects the baseline policies.
	Plain bool
}

// Requests bounds what callers may send and how long they wait.
type Requests struct {
	// Deadline is for requests that name none of services that name none, and
	// DeferrableDeadline the same for deferrable ones.
	Deadline           time.Duration
	DeferrableDeadline time.Duration
	MaxDeadline        time.Duration
	ChatBytes          int64
	OnceBytes          int64
	QueueCount         int
	QueueBytes         int64
	InFlight           int
	OutcomeKept        time.Duration
}

// Log says how the daemon logs.
type Log struct {
	Level  string
	Format string
}
