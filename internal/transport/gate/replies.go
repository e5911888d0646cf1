package gate

import (
	"errors"
	"io"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/budget"
)

// firstReplyBytes is the size of a buffer for a reply until it needs more. It is not counted, so
// that small replies can always be read.
const firstReplyBytes = 8 << 10

var (
	errReplyTooLarge = errors.New("the body of the reply is too large")
	errReplyMemory   = errors.New("too many large replies at the same time")
)

// Replies reads the bodies of replies to one client's calls, in bounded memory.
type Replies struct {
	// maxBytes limits one body.
	maxBytes int
	account  *budget.Account
}

// NewReplies returns a reader of bodies of at most maxBytes, which hold at most allBytes
// together while they are read.
func NewReplies(maxBytes, allBytes int64) *Replies {
	return &Replies{maxBytes: int(maxBytes), account: budget.NewAccount(allBytes, time.Now)}
}

// ReadAll reads a body to its end. It returns an error for one that exceeds the limit, or for
// which there are no bytes left.
func (r *Replies) ReadAll(body io.Reader) ([]byte, error) {
	var held budget.Holding
	r.account.Open(&held, budget.Answers, nil)
	defer held.Close()
	data := make([]byte, 0, min(firstReplyBytes, r.maxBytes+1))
	for {
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case len(data) > r.maxBytes:
			return nil, errReplyTooLarge
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		case len(data) < cap(data):
			continue
		}
		// One byte more than the limit shows that a body exceeds it.
		size := min(2*cap(data), r.maxBytes+1)
		if held.Reserve(int64(size)) != budget.Granted {
			return nil, errReplyMemory
		}
		before := held.Bytes() - int64(size)
		data = append(make([]byte, 0, size), data...)
		held.Release(before)
	}
}
