package queue

import (
	"fmt"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/state/config"
)

// BenchmarkQueue measures the cost of a new request to a full queue: the count of the requests
// that are granted before it, and the choice of the waiter to evict.
func BenchmarkQueue(b *testing.B) {
	start := time.Unix(1000, 0)
	for _, waiting := range []int{100, 4000, 10_000} {
		q := newFairQueue()
		for i := range waiting {
			req := Request{Class: config.ClassDeferrable, Tenant: "a"}
			q.push(&waiter{req: req, refuseBy: start.Add(time.Duration(i*7919%waiting) * time.Second), seq: uint64(i)})
		}
		req := Request{Class: config.ClassDeferrable, Tenant: "a"}
		for _, at := range []int{0, waiting / 2, waiting} {
			b.Run(fmt.Sprintf("ahead/waiting=%d/before=%d", waiting, at), func(b *testing.B) {
				for b.Loop() {
					q.countAhead(req, start.Add(time.Duration(at)*time.Second))
				}
			})
		}
		b.Run(fmt.Sprintf("longest/waiting=%d", waiting), func(b *testing.B) {
			for b.Loop() {
				q.evictionCandidate()
			}
		})
	}
}
