package pack_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/pack"
)

func host(id, rack string, cpu int) pack.Worker {
	r := hosts.Resources{CPU: cpu, Mem: 1000}
	return pack.Worker{ID: id, Labels: []string{"a", rack}, Capacity: r, Free: r}
}

// holder is a worker with a lasting subtask.
func holder(id string, cpu int) pack.Worker {
	h := host(id, "r", cpu)
	h.LongRunning, h.Free.CPU = 1, cpu/2
	return h
}

func TestChoose(t *testing.T) {
	none := func(int) int { return 0 }
	for _, c := range []struct {
		name  string
		want  pack.Demand
		hosts []pack.Worker
		count func(int) int
		at    int
	}{
		{"no room", pack.Demand{Resources: hosts.Resources{CPU: 2}}, []pack.Worker{host("a", "r", 1)}, none, -1},
		{"filling takes no processor", pack.Demand{Resources: hosts.Resources{CPU: 2}, Fills: true}, []pack.Worker{host("a", "r", 1)}, none, 0},
		{"filling takes memory", pack.Demand{Resources: hosts.Resources{Mem: 2000}, Fills: true}, []pack.Worker{host("a", "r", 1)}, none, -1},
		{"label", pack.Demand{Label: "b"}, []pack.Worker{host("a", "r", 1)}, none, -1},
		{"rack of the data", pack.Demand{DataRack: "s"}, []pack.Worker{host("a", "r", 1), host("b", "s", 1)}, none, 1},
		{"limit on one worker", pack.Demand{MaxPerWorker: 1}, []pack.Worker{host("a", "r", 1)}, func(int) int { return 1 }, -1},
		{"spread", pack.Demand{LongRunning: true}, []pack.Worker{host("a", "r", 1), host("b", "r", 1)}, func(i int) int { return 1 - i }, 1},
		{"lasting ones of two steps share", pack.Demand{LongRunning: true}, []pack.Worker{host("a", "r", 9), holder("b", 9)}, none, 1},
		{"those of one step don't", pack.Demand{LongRunning: true}, []pack.Worker{host("a", "r", 9), holder("b", 9)}, func(i int) int { return i }, 0},
		{"not where it failed", pack.Demand{AvoidWorker: "a"}, []pack.Worker{host("a", "r", 1), host("b", "r", 1)}, none, 1},
		{"where it failed if nowhere else", pack.Demand{AvoidWorker: "a"}, []pack.Worker{host("a", "r", 1)}, none, 0},
	} {
		require.Equal(t, c.at, pack.Choose(&c.want, c.hosts, c.count), c.name)
	}
}

// TestChooseFullest replays the end of a turn: what is left fills a few workers,
// so that the others can be given away.
func TestChooseFullest(t *testing.T) {
	all := []pack.Worker{host("a", "r", 10), host("b", "r", 10), host("c", "r", 10)}
	w := pack.Demand{Resources: hosts.Resources{CPU: 3, Mem: 1}}
	var at []int
	for range 6 {
		i := pack.Choose(&w, all, func(int) int { return 0 })
		all[i].Reserve(&w)
		at = append(at, i)
	}
	require.Equal(t, []int{0, 0, 0, 1, 1, 1}, at)
	require.Equal(t, 2, pack.Choose(&w, all, func(int) int { return 0 }))
	w.Resources.CPU = 11
	require.Equal(t, -1, pack.Choose(&w, all, func(int) int { return 0 }))
}

// arrival is a job of the turn that TestOrderOfTurn replays.
type arrival struct {
	at, work time.Duration
	done     time.Duration
}

// replay serves a turn on a number of cores, each job on one core, and returns
// how many were on time.
func replay(jobs []arrival, cores int, pick func(ready []*arrival, now time.Duration) *arrival) int {
	busy := make([]time.Duration, cores)
	waiting := map[*arrival]bool{}
	for i := range jobs {
		waiting[&jobs[i]] = true
	}
	const step = 10 * time.Millisecond
	for now := time.Duration(0); len(waiting) > 0; now += step {
		for c := range busy {
			if busy[c] > now {
				continue
			}
			var ready []*arrival
			for i := range jobs {
				if waiting[&jobs[i]] && jobs[i].at <= now {
					ready = append(ready, &jobs[i])
				}
			}
			if len(ready) == 0 {
				break
			}
			a := pick(ready, now)
			delete(waiting, a)
			busy[c] = now + a.work
			a.done = busy[c]
		}
	}
	n := 0
	for _, a := range jobs {
		if a.done-a.at <= aim(a.work) {
			n++
		}
	}
	return n
}

func aim(work time.Duration) time.Duration { return work*16/10 + 600*time.Millisecond }

// TestOrderOfTurn replays a turn that asks twice what the pool holds for 4.5
// seconds, and compares the order with first come, first served.
func TestOrderOfTurn(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		var jobs []arrival
		for at := time.Duration(0); at < 4500*time.Millisecond; at += 50 * time.Millisecond {
			work := time.Duration(math.Exp(r.NormFloat64()/2) * float64(800*time.Millisecond))
			jobs = append(jobs, arrival{at: at, work: work})
		}
		const cores = 8 // asked for: 18
		first := replay(append([]arrival(nil), jobs...), cores, func(ready []*arrival, _ time.Duration) *arrival { return ready[0] })
		origin := time.UnixMilli(0)
		ours := replay(append([]arrival(nil), jobs...), cores, func(ready []*arrival, now time.Duration) *arrival {
			waiting := func(a *arrival) *pack.WaitingJob {
				return &pack.WaitingJob{Accepted: origin.Add(a.at), Deadline: aim(a.work), Remaining: a.work}
			}
			best := ready[0]
			for _, a := range ready[1:] {
				if pack.Compare(waiting(a), waiting(best), origin.Add(now)) < 0 {
					best = a
				}
			}
			return best
		})
		require.Greater(t, ours, first, "seed %d: on time in our order and first come", seed)
	}
}

func TestTier(t *testing.T) {
	now := time.UnixMilli(100_000)
	at := func(age time.Duration) time.Time { return now.Add(-age) }
	for _, c := range []struct {
		w    pack.WaitingJob
		tier int
	}{
		{pack.WaitingJob{LongRunning: true, Accepted: at(time.Hour)}, 0},
		{pack.WaitingJob{Started: true, Accepted: at(time.Second), Deadline: 2 * time.Second, Remaining: time.Second}, 1},
		{pack.WaitingJob{Accepted: at(time.Second), Deadline: 2 * time.Second, Remaining: time.Second}, 2},
		{pack.WaitingJob{Started: true, Accepted: at(2 * time.Second), Deadline: 2 * time.Second, Remaining: time.Second}, 3},
		{pack.WaitingJob{Accepted: at(6 * time.Second), Deadline: 2 * time.Second, Remaining: time.Second}, 4},
	} {
		require.Equal(t, c.tier, pack.Tier(&c.w, now))
	}
}

func TestForecast(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct {
		name  string
		off   float64 // spread of declarations around the truth
		worst float64 // bound of the mean error of the forecast's logarithm
	}{
		{"declarations that are right", 0.01, 0.05},
		{"declarations off by their own size", 0.9, 0.5},
	} {
		var f pack.Forecast
		sum := 0.0
		const n = 400
		for i := range 2 * n {
			actual := 0.8 * math.Exp(r.NormFloat64()*0.5)
			declared := actual * math.Exp(r.NormFloat64()*c.off)
			if i >= n {
				sum += math.Abs(math.Log(f.Predict(time.Duration(declared*1e9)).Seconds() / actual))
			}
			f.Observe(time.Duration(declared*1e9), time.Duration(actual*1e9))
		}
		require.Less(t, sum/n, c.worst, c.name)
	}
	var empty pack.Forecast
	require.Equal(t, time.Second, empty.Predict(time.Second))
}
