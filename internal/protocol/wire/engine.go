package wire

import (
	"hash/fnv"
	"time"
)

// Paths of a model engine.
const (
	PathOrder    = "/engine/order"
	PathGenerate = "/engine/generate"
	PathCancel   = "/engine/cancel"
	PathEvents   = "/engine/events"
	PathLoad     = "/engine/load"
	PathAlive    = "/engine/alive"
)

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// GenerateRequest asks a replica for an answer.
type GenerateRequest struct {
	RequestID string    `json:"requestId"`
	Replica   string    `json:"replica"`
	Model     string    `json:"model"`
	Adapter   string    `json:"adapter,omitempty"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"maxTokens"`
	// Seed makes the answer repeatable, which a resumed stream relies on.
	Seed     int64 `json:"seed"`
	Priority int   `json:"priority"`
	// Offset is the number of tokens that the asker already has.
	Offset int `json:"offset,omitempty"`
	// Within is the time left until the caller gives up.
	Within time.Duration `json:"withinNanos,omitempty"`
}

// Prefix identifies the part of a prompt that engines cache: the model, the
// adapter and the first message.
func Prefix(model, adapter string, messages []Message) uint64 {
	h := fnv.New64a()
	parts := []string{model, adapter}
	if len(messages) > 0 {
		parts = append(parts, messages[0].Role, messages[0].Content)
	}
	for _, part := range parts {
		// The separator keeps ("ab", "c") and ("a", "bc") apart.
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// Chunk is one token of an answer, or its end.
type Chunk struct {
	RequestID string `json:"requestId"`
	// Index is the position of the token in the whole answer.
	Index int    `json:"index"`
	Text  string `json:"text,omitempty"`
	// Done marks the end; Tokens is then the length of the whole answer.
	Done   bool   `json:"done,omitempty"`
	Tokens int    `json:"tokens,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// Reasons for the end of a stream; an answer is whole after the first two.
const (
	FinishStop      = "stop"
	FinishLength    = "length"
	FinishCancelled = "cancelled"
)

// Reasons of an EngineError.
const (
	ReasonLeaving   = "leaving"
	ReasonNoReplica = "noReplica"
	ReasonNoAdapter = "noAdapter"
	ReasonInvalid   = "invalid"
)

// EngineError is the body of an answer that is not 200. NotRun tells that the
// engine began nothing.
type EngineError struct {
	Reason string `json:"reason"`
	NotRun bool   `json:"notRun"`
}

// CancelRequest stops the work of a request.
type CancelRequest struct {
	RequestID string `json:"requestId"`
}

// CacheEvent tells that a prompt prefix entered or left a replica's cache.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Replica string `json:"replica"`
	Prefix  uint64 `json:"prefix"`
	Evicted bool   `json:"evicted,omitempty"`
}

// CacheEvents answers GET PathEvents; First and Last bound what the engine
// still remembers, so that a reader sees a gap.
type CacheEvents struct {
	Boot   string       `json:"boot"`
	First  uint64       `json:"first"`
	Last   uint64       `json:"last"`
	Events []CacheEvent `json:"events"`
}

// LoadReport is what a replica was doing a while ago.
type LoadReport struct {
	Boot     string        `json:"boot"`
	Age      time.Duration `json:"ageNanos"`
	Replicas []ReplicaLoad `json:"replicas"`
	Leaving  bool          `json:"leaving"`
}

// ReplicaLoad is the load of one replica.
type ReplicaLoad struct {
	Replica string `json:"replica"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
}
