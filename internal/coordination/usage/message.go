package usage

// Ask asks for a permit.
type Ask struct {
	Team string `json:"team"`
	// Amount is 0 if only the instance's share is asked for.
	Amount float64 `json:"amount"`
	// Priority is 0 for the most urgent requests.
	Priority int `json:"priority,omitempty"`
	// MaxDelayMS is the longest delay until the permit starts, in milliseconds.
	MaxDelayMS int64 `json:"maxDelayMs,omitempty"`
	// IsPrefetch means that no request needs the permit yet.
	IsPrefetch bool `json:"prefetch,omitempty"`
}

// isForRequest reports whether a request waits for the permit.
func (a Ask) isForRequest() bool { return a.Amount > 0 && !a.IsPrefetch }

// Answer answers an Ask.
type Answer struct {
	// Granted is the amount of the permit, 0 for a refusal, and Slot its place in the
	// calendar.
	Granted float64 `json:"granted,omitempty"`
	Slot    int64   `json:"slot,omitempty"`
	// DelayMS is the time until the permit starts or, after a refusal, until the bucket
	// could serve the request, in milliseconds.
	DelayMS int64 `json:"delayMs,omitempty"`
	// AgainMS is how long, after a refusal, the same ask would be refused again, in
	// milliseconds.
	AgainMS int64 `json:"againMs,omitempty"`
}

// Returned is an amount that was granted and not used.
type Returned struct {
	Team   string  `json:"team"`
	Amount float64 `json:"amount"`
	Slot   int64   `json:"slot"`
}

// Message is what an instance sends to the holder.
type Message struct {
	From string `json:"from"`
	Asks []Ask  `json:"asks,omitempty"`
	// Returns are of the term Term, or of the one whose ledger its holder has taken over.
	Term    int64      `json:"term,omitempty"`
	Returns []Returned `json:"returns,omitempty"`
	// Admitted is what the instance has admitted by team because the ledger of Term had stopped, as far as
	// no holder has replied since.
	Admitted map[string]float64 `json:"admitted,omitempty"`
	// IsIdle means that the instance no longer uses its shares and asks nothing for a while.
	IsIdle bool `json:"idle,omitempty"`
}

// Reply is the holder's reply to a Message, with one answer for each of its asks.
type Reply struct {
	Term int64 `json:"term"`
	// Former is the term whose ledger the holder has taken over; its permits can be returned.
	Former int64 `json:"former,omitempty"`
	// Members is the number of instances.
	Members int      `json:"members"`
	Answers []Answer `json:"answers,omitempty"`
	// Shares is the instance's part of the recent grants of each team in the message.
	Shares map[string]float64 `json:"shares,omitempty"`
	// Levels are the levels of these teams' buckets, without reserved tokens.
	Levels map[string]float64 `json:"levels,omitempty"`
	// Filled lists the teams whose bucket has enough for prefetching.
	Filled []string `json:"filled,omitempty"`
}

// Stop tells that the Ledger of a term issues no permits, at least until its holder is certain of its
// lease again. It refuses a message, and is about the teams of its requests.
type Stop struct {
	Term int64 `json:"term"`
	// ForMS is the time since the last permit may have been issued, in milliseconds.
	ForMS int64 `json:"forMs"`
}
