package front_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/transport/front"
)

const tenTokens = `{"model":"menu","messages":[{"role":"user","content":"hi"}],"max_tokens":10,"seed":1}`

func wantTen() string {
	return caller{question: "hi", tokens: 10}.want()
}

// TestBrokenStreams breaks the first stream in one way and checks that the
// caller still gets the whole answer, how long it took and where it went on.
func TestBrokenStreams(t *testing.T) {
	dead := errors.New("no answer")
	table := []struct {
		name   string
		fault  func(index int) error
		alive  error
		most   time.Duration
		offset int
	}{
		{"cut before the first token", failAt(0, errors.New("reset")), nil, time.Second, 0},
		{"cut after four tokens", failAt(4, errors.New("reset")), nil, time.Second, 4},
		{"silent before the first token", failAt(0, errSilent), nil, 3 * time.Second, 0},
		{"silent after four tokens", failAt(4, errSilent), nil, 2 * time.Second, 4},
		{"silent and the target is dead", failAt(4, errSilent), dead, 3 * time.Second, 4},
		{"refused by a leaving target", failAt(-1, &front.CallError{NotRun: true, Leaving: true}), nil, time.Second, 0},
	}
	for _, c := range table {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var broken atomic.Bool
				r := newRig(t, func(r *rig) {
					r.engine.fault = func(_ netip.AddrPort, req wire.GenerateRequest, index int) error {
						if c.fault(index) != nil && broken.CompareAndSwap(false, true) {
							return c.fault(index)
						}
						return nil
					}
					r.engine.alive = func(netip.AddrPort) error { return c.alive }
				})
				defer r.driver.Stop()
				r.rows(1, replicaRow("r1", "menu", 9001), replicaRow("r2", "menu", 9002))
				start := time.Now()
				resp := r.do("POST", "/v1/chat/completions", tenTokens)
				took := time.Since(start)
				if body := text(t, resp); resp.StatusCode != http.StatusOK || !strings.Contains(body, wantTen()) {
					t.Fatalf("status %d: %s", resp.StatusCode, body)
				}
				sends := r.engine.sends()
				second := sends[1]
				if took > c.most || second.Offset != c.offset || len(sends) != 2 {
					t.Errorf("went on at %d after %v with %d sends, want at %d within %v",
						second.Offset, took, len(sends), c.offset, c.most)
				}
				if second.Replica == sends[0].Replica {
					t.Errorf("went on at the replica that failed")
				}
				t.Logf("whole after %v", took)
			})
		})
	}
}

func failAt(index int, err error) func(int) error {
	return func(at int) error {
		if at == index {
			return err
		}
		return nil
	}
}

// TestAdapterMadeRoom has the only replica lack the adapter when the request
// arrives: it waits for the adapter and is served there, at no cost to the
// tenant's budget or the replica's standing.
func TestAdapterMadeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		row := replicaRow("r1", "menu", 9001)
		row.Adapters = []string{"river"}
		r := newRig(t, func(r *rig) {
			r.engine.fault = func(_ netip.AddrPort, _ wire.GenerateRequest, index int) error {
				if len(r.engine.sends()) > 1 || index >= 0 {
					return nil
				}
				without := row
				without.Adapters = nil
				r.rows(2, without)
				time.AfterFunc(time.Second, func() { r.rows(3, row) })
				return &front.CallError{NotRun: true, NoAdapter: true, Reason: wire.ReasonNoAdapter}
			}
		})
		defer r.driver.Stop()
		r.rows(1, row)
		start := time.Now()
		resp := r.do("POST", "/v1/chat/completions", strings.Replace(tenTokens, `"menu"`, `"river"`, 1), "X-Deadline", "10s")
		if body := text(t, resp); resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d: %s", resp.StatusCode, body)
		}
		if took := time.Since(start); took > 2*time.Second || len(r.engine.sends()) != 2 {
			t.Errorf("took %v and %d sends", took, len(r.engine.sends()))
		}
	})
}

// TestThinkingModel lets a healthy model think for long before its first token:
// its stream is not given up, and at most one more is begun.
func TestThinkingModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, func(r *rig) {
			r.engine.fault = func(_ netip.AddrPort, _ wire.GenerateRequest, index int) error {
				if index == 0 {
					time.Sleep(12 * time.Second)
				}
				return nil
			}
		})
		defer r.driver.Stop()
		r.rows(1, replicaRow("r1", "menu", 9001), replicaRow("r2", "menu", 9002))
		start := time.Now()
		resp := r.do("POST", "/v1/chat/completions", tenTokens)
		if body := text(t, resp); !strings.Contains(body, wantTen()) {
			t.Fatalf("status %d: %s", resp.StatusCode, body)
		}
		if took := time.Since(start); took > 12*time.Second+time.Millisecond || len(r.engine.sends()) > 2 {
			t.Errorf("took %v and %d streams", took, len(r.engine.sends()))
		}
		time.Sleep(20 * time.Second)
	})
}

// TestNoPlaceAfterASend cuts a stream and then takes the only replica away: what
// is refused for want of a place may have run all the same.
func TestNoPlaceAfterASend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sends atomic.Int64
		r := newRig(t, func(r *rig) {
			r.engine.fault = func(_ netip.AddrPort, _ wire.GenerateRequest, index int) error {
				if index < 0 && sends.Add(1) > 1 {
					return &front.CallError{NotRun: true, Gone: true}
				}
				return failAt(2, errors.New("reset"))(index)
			}
		})
		defer r.driver.Stop()
		r.rows(1, replicaRow("r1", "menu", 9001))
		resp := r.do("POST", "/v1/chat/completions", tenTokens, "X-Deadline", "3s")
		var p front.Problem
		if err := json.Unmarshal([]byte(text(t, resp)), &p); err != nil {
			t.Fatal(err)
		}
		if sends.Load() != 2 || p.NotRun || !p.OutcomeUnknown {
			t.Errorf("after %d sends: %+v", sends.Load(), p)
		}
	})
}

// TestRetryBudget fails every call and counts what the engines see.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, func(r *rig) {
			r.engine.fault = func(_ netip.AddrPort, _ wire.GenerateRequest, index int) error {
				return errors.New("reset")
			}
		})
		defer r.driver.Stop()
		for i := range 8 {
			r.rows(uint64(i+1), replicaRow(fmt.Sprintf("r%d", i), "menu", uint16(9000+i)))
		}
		const requests = 1000
		var wg sync.WaitGroup
		for range requests {
			wg.Add(1)
			go func() {
				defer wg.Done()
				r.do("POST", "/v1/chat/completions", tenTokens)
			}()
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		if sends := len(r.engine.sends()); sends > requests*11/10+1 {
			t.Errorf("%d sends for %d requests that all failed", sends, requests)
		}
	})
}
