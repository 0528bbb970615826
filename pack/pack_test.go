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

func worker(id, rack string, cpu int) pack.Worker {
	r := hosts.Resources{CPU: cpu, Mem: 1000}
	return pack.Worker{ID: id, Labels: []string{"a", rack}, Capacity: r, Free: r}
}

// longRunningWorker returns a worker that is half used by a long-running subtask.
func longRunningWorker(id string, cpu int) pack.Worker {
	w := worker(id, "r", cpu)
	w.LongRunning, w.Free.CPU = 1, cpu/2
	return w
}

func TestChoose(t *testing.T) {
	none := func(int) int { return 0 }
	for _, c := range []struct {
		name    string
		demand  pack.Demand
		workers []pack.Worker
		count   func(int) int
		at      int
	}{
		{"no room", pack.Demand{Resources: hosts.Resources{CPU: 2}}, []pack.Worker{worker("a", "r", 1)}, none, -1},
		{"a filling subtask needs no free CPU", pack.Demand{Resources: hosts.Resources{CPU: 2}, Fills: true}, []pack.Worker{worker("a", "r", 1)}, none, 0},
		{"a filling subtask needs free memory", pack.Demand{Resources: hosts.Resources{Mem: 2000}, Fills: true}, []pack.Worker{worker("a", "r", 1)}, none, -1},
		{"required label", pack.Demand{Label: "b"}, []pack.Worker{worker("a", "r", 1)}, none, -1},
		{"rack of the data", pack.Demand{DataRack: "s"}, []pack.Worker{worker("a", "r", 1), worker("b", "s", 1)}, none, 1},
		{"limit of subtasks per worker", pack.Demand{MaxPerWorker: 1}, []pack.Worker{worker("a", "r", 1)}, func(int) int { return 1 }, -1},
		{"long-running subtasks of one step are spread", pack.Demand{LongRunning: true}, []pack.Worker{worker("a", "r", 1), worker("b", "r", 1)}, func(i int) int { return 1 - i }, 1},
		{"long-running subtasks of two steps share a worker", pack.Demand{LongRunning: true}, []pack.Worker{worker("a", "r", 9), longRunningWorker("b", 9)}, none, 1},
		{"long-running subtasks of one step don't share a worker", pack.Demand{LongRunning: true}, []pack.Worker{worker("a", "r", 9), longRunningWorker("b", 9)}, func(i int) int { return i }, 0},
		{"not on the worker where it failed", pack.Demand{AvoidWorker: "a"}, []pack.Worker{worker("a", "r", 1), worker("b", "r", 1)}, none, 1},
		{"on the worker where it failed if there is no other", pack.Demand{AvoidWorker: "a"}, []pack.Worker{worker("a", "r", 1)}, none, 0},
	} {
		require.Equal(t, c.at, pack.Choose(&c.demand, c.workers, c.count), c.name)
	}
}

// At the end of a peak the remaining subtasks are packed on few workers, so that
// the hosts of the others can move to another pool.
func TestChooseFullest(t *testing.T) {
	workers := []pack.Worker{worker("a", "r", 10), worker("b", "r", 10), worker("c", "r", 10)}
	d := pack.Demand{Resources: hosts.Resources{CPU: 3, Mem: 1}}
	var at []int
	for range 6 {
		i := pack.Choose(&d, workers, func(int) int { return 0 })
		workers[i].Reserve(&d)
		at = append(at, i)
	}
	require.Equal(t, []int{0, 0, 0, 1, 1, 1}, at)
	require.Equal(t, 2, pack.Choose(&d, workers, func(int) int { return 0 }))
	d.Resources.CPU = 11
	require.Equal(t, -1, pack.Choose(&d, workers, func(int) int { return 0 }))
}

// arrival is a job of the peak that TestOrderAtPeak simulates.
type arrival struct {
	at, work time.Duration
	done     time.Duration
}

// simulate runs the jobs of a peak on a number of cores, each job on one core, and
// returns how many were on time.
func simulate(jobs []arrival, cores int, pick func(ready []*arrival, now time.Duration) *arrival) int {
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
		if a.done-a.at <= deadline(a.work) {
			n++
		}
	}
	return n
}

func deadline(work time.Duration) time.Duration { return work*16/10 + 600*time.Millisecond }

// For 4.5 seconds the demand is more than twice the pool's capacity: more jobs are
// on time than if they are served in order of arrival.
func TestOrderAtPeak(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		var jobs []arrival
		for at := time.Duration(0); at < 4500*time.Millisecond; at += 50 * time.Millisecond {
			work := time.Duration(math.Exp(r.NormFloat64()/2) * float64(800*time.Millisecond))
			jobs = append(jobs, arrival{at: at, work: work})
		}
		const cores = 8 // the demand is 18
		first := simulate(append([]arrival(nil), jobs...), cores, func(ready []*arrival, _ time.Duration) *arrival { return ready[0] })
		origin := time.UnixMilli(0)
		ours := simulate(append([]arrival(nil), jobs...), cores, func(ready []*arrival, now time.Duration) *arrival {
			waiting := func(a *arrival) *pack.WaitingJob {
				return &pack.WaitingJob{Accepted: origin.Add(a.at), Deadline: deadline(a.work), Remaining: a.work}
			}
			best := ready[0]
			for _, a := range ready[1:] {
				if pack.Compare(waiting(a), waiting(best), origin.Add(now)) < 0 {
					best = a
				}
			}
			return best
		})
		require.Greater(t, ours, first, "seed %d: jobs on time, against first come, first served", seed)
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
		off   float64 // standard deviation of the logarithm of declared by actual time
		worst float64 // bound of the mean absolute error of the forecast's logarithm
	}{
		{"declared times that are right", 0.01, 0.05},
		{"declared times that are off by their own size", 0.9, 0.5},
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
