package sched_test

import (
	"fmt"
	"testing"
	"time"

	"shallotpaddle/sched"
)

const benchWaiting = 10000

// filledQueue returns a queue with n waiting items of 230 customers.
func filledQueue(b *testing.B, policy sched.Policy, n int) (*sched.Queue, []*sched.Item, *manualClock) {
	clock := &manualClock{now: time.Unix(1e9, 0)}
	q := sched.New(policy, clock)
	items := make([]*sched.Item, n)
	for i := range items {
		items[i] = sched.NewItem(uint64(i), benchSpec(i, clock.Now()))
		if err := q.Push(items[i]); err != nil {
			b.Fatal(err)
		}
	}
	return q, items, clock
}

var benchNames = func() (names [230]string) {
	for i := range names {
		names[i] = fmt.Sprintf("customer-%d", i)
	}
	return names
}()

// benchSpec returns the spec of the i-th item, which arrives at now.
func benchSpec(i int, now time.Time) sched.Spec {
	return sched.Spec{
		Queue: "q", Customer: benchNames[i%230], Kind: "k", CustomerRank: 1 + i%230, JobRank: 1 + i%3,
		RunTime: time.Second, Arrived: now, Due: now.Add(time.Duration(1+i%100) * time.Second), Quota: 0.05, Depth: 2 * benchWaiting,
	}
}

// BenchmarkPushPopDone pops an item, ends it and pushes it again as new work in each
// iteration. The clock advances by 1 ms every 10 iterations.
func BenchmarkPushPopDone(b *testing.B) {
	for _, policy := range []sched.Policy{sched.Strict, sched.Earliest, sched.Yield} {
		b.Run(policy.String(), func(b *testing.B) {
			q, _, clock := filledQueue(b, policy, benchWaiting)
			now := clock.Now()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if i%10 == 0 {
					now = now.Add(time.Millisecond)
					clock.now = now
				}
				it := q.Pop(now, 1, 1360)
				q.Done(it, time.Second)
				it.Reset(it.ID(), benchSpec(i, now))
				if err := q.Push(it); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkCancelWave removes 10,000 waiting items in each iteration.
func BenchmarkCancelWave(b *testing.B) {
	q, items, _ := filledQueue(b, sched.Yield, benchWaiting)
	b.ReportAllocs()
	for range b.N {
		for _, it := range items {
			q.Remove(it)
		}
		b.StopTimer()
		for _, it := range items {
			if err := q.Push(it); err != nil {
				b.Fatal(err)
			}
		}
		b.StartTimer()
	}
}

// BenchmarkDelay predicts the delay of one new item in each iteration.
func BenchmarkDelay(b *testing.B) {
	q, _, clock := filledQueue(b, sched.Yield, benchWaiting)
	now := clock.Now()
	b.ReportAllocs()
	for i := range b.N {
		q.Delay(now, 1360, 1+i%230, time.Time{})
	}
}
