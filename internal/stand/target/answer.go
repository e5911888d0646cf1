package target

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"

	"chivecroft.example/chivecroft/internal/protocol/wire"
)

const (
	minTokens     = 8
	tokenSpread   = 25
	defaultTokens = 256
)

var words = []string{
	"river", "table", "seven", "steam", "paper", "north", "basil", "lamp",
	"stone", "quiet", "early", "maple", "order", "plate", "glass", "amber",
}

// Answer returns the tokens of the whole answer to a request, whatever its
// offset; it depends on the model, the adapter, the seed, the messages and the
// limit of tokens alone.
func Answer(req wire.GenerateRequest) []string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%q %q %d", req.Model, req.Adapter, req.Seed)
	for _, m := range req.Messages {
		fmt.Fprintf(h, " %q %q", m.Role, m.Content)
	}
	random := rand.New(rand.NewPCG(h.Sum64(), uint64(req.Seed)))
	n := minTokens + random.IntN(tokenSpread)
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("%s%04x ", words[random.IntN(len(words))], random.IntN(1<<16))
	}
	return tokens[:min(n, limitOf(req))]
}

func limitOf(req wire.GenerateRequest) int {
	if req.MaxTokens <= 0 {
		return defaultTokens
	}
	return req.MaxTokens
}

// finishOf tells why the whole answer ends where it does.
func finishOf(req wire.GenerateRequest, tokens int) string {
	if tokens == limitOf(req) {
		return wire.FinishLength
	}
	return wire.FinishStop
}
