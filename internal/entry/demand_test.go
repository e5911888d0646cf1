package entry

import (
	"context"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// TestAskShards asks three shards, of which some answer; the asker may go away
// while the first is asked.
func TestAskShards(t *testing.T) {
	failed := errors.New("no answer")
	queued := ports.DemandReply{Status: ports.DemandQueued}
	full := ports.DemandReply{Status: ports.DemandQueued, Reason: "no place"}
	elsewhere := ports.DemandReply{Status: ports.DemandElsewhere}
	type answer struct {
		reply ports.DemandReply
		err   error
	}
	tests := []struct {
		name    string
		answers map[int]answer
		leaves  bool
		asked   []int
		want    ports.DemandReply
		fails   bool
	}{
		{"the first settles it", map[int]answer{0: {queued, nil}}, false, []int{0}, queued, false},
		{"no answer, the next settles it", map[int]answer{0: {err: failed}, 1: {queued, nil}}, false, []int{0, 1}, queued, false},
		{"none settles it", map[int]answer{0: {elsewhere, nil}, 1: {full, nil}, 2: {err: failed}}, false, []int{0, 1, 2}, full, false},
		{"none answers", map[int]answer{0: {err: failed}, 1: {err: failed}, 2: {err: failed}}, false, []int{0, 1, 2}, ports.DemandReply{}, true},
		{"the asker leaves", map[int]answer{0: {err: failed}, 1: {queued, nil}}, true, []int{0}, ports.DemandReply{}, true},
	}
	for _, tt := range tests {
		ctx, leave := context.WithCancel(t.Context())
		var asked []int
		reply, err := askShards(ctx, []int{0, 1, 2}, func(shard int) (ports.DemandReply, error) {
			asked = append(asked, shard)
			if tt.leaves {
				leave()
			}
			return tt.answers[shard].reply, tt.answers[shard].err
		})
		leave()
		if diff := cmp.Diff(tt.asked, asked); diff != "" {
			t.Errorf("%s: shards asked (-want +got):\n%s", tt.name, diff)
		}
		if diff := cmp.Diff(tt.want, reply); diff != "" || (err != nil) != tt.fails {
			t.Errorf("%s: %v (-want +got):\n%s", tt.name, err, diff)
		}
	}
}
