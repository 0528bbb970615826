package owner_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
)

// oddEntry makes one entry of the list that owners read odd: that of worker i, which the
// list has, or one that it adds. The list has two workers at least.
type oddEntry func(list []hosts.Worker, i int) []hosts.Worker

// nobody is an address where no worker answers.
const nobody = "10.9.9.9:80"

// oddEntries are what another writer may leave in the list, or a worker whose clock is wrong.
var oddEntries = map[string]oddEntry{
	"born an hour ahead": func(list []hosts.Worker, i int) []hosts.Worker {
		list[i].StartedMs += time.Hour.Milliseconds()
		return list
	},
	"born at the end of time": func(list []hosts.Worker, i int) []hosts.Worker {
		list[i].StartedMs = math.MaxInt64
		return list
	},
	"born an hour back": func(list []hosts.Worker, i int) []hosts.Worker {
		list[i].StartedMs -= time.Hour.Milliseconds()
		return list
	},
	"born is missing": func(list []hosts.Worker, i int) []hosts.Worker {
		list[i].StartedMs = 0
		return list
	},
	"address of another worker": func(list []hosts.Worker, i int) []hosts.Worker {
		list[i].Address = list[(i+1)%len(list)].Address
		return list
	},
	"born ahead, address of another worker": func(list []hosts.Worker, i int) []hosts.Worker {
		list[i].StartedMs, list[i].Address = list[i].StartedMs+time.Hour.Milliseconds(), list[(i+1)%len(list)].Address
		return list
	},
	"address of nobody": func(list []hosts.Worker, i int) []hosts.Worker {
		list[i].Address = nobody
		return list
	},
	"draining": func(list []hosts.Worker, i int) []hosts.Worker {
		list[i].Draining, list[i].DrainLeft = true, math.MaxInt64
		return list
	},
	"missing": func(list []hosts.Worker, i int) []hosts.Worker { return slices.Delete(list, i, i+1) },
	"no capacity": func(list []hosts.Worker, i int) []hosts.Worker {
		list[i].Capacity = hosts.Resources{}
		return list
	},
	"capacity of no worker": func(list []hosts.Worker, i int) []hosts.Worker {
		list[i].Capacity = hosts.Resources{CPU: 1e9, Mem: 1e9}
		return list
	},
	"names no worker": func(list []hosts.Worker, i int) []hosts.Worker {
		return append(list, phantom(list[i].StartedMs, nobody))
	},
	"second ID of a worker": func(list []hosts.Worker, i int) []hosts.Worker {
		return append(list, phantom(list[i].StartedMs, list[i].Address))
	},
}

// phantom returns an entry with an ID that no worker has.
func phantom(born int64, address string) hosts.Worker {
	return hosts.Worker{
		ID: "odd", Pool: poolName, Address: address, Labels: []string{"a", "r0"},
		Capacity: hosts.Resources{CPU: 1e9, Mem: 1e9, GPU: 1e9}, StartedMs: born,
	}
}

// withOddEntry returns the list of workers with the entry of a worker made odd, unless the list
// doesn't have the worker.
func withOddEntry(list []hosts.Worker, odd oddEntry, id string) []hosts.Worker {
	i := slices.IndexFunc(list, func(w hosts.Worker) bool { return w.ID == id })
	if i < 0 || len(list) < 2 {
		return list
	}
	return odd(list, i)
}

// makeEntriesOdd makes one entry after the other odd, each for 0.2 to 5 seconds, for the time
// with failures.
func (pool *testPool) makeEntriesOdd(r *rand.Rand, names []string) {
	var change atomic.Pointer[func(list []hosts.Worker) []hosts.Worker]
	list := pool.list
	pool.list = func() []hosts.Worker {
		if f := change.Load(); f != nil {
			return (*f)(list())
		}
		return list()
	}
	go func() {
		for begun := time.Now(); time.Since(begun) < 25*time.Second; {
			time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
			workers := pool.workers.Registered()
			if len(workers) == 0 {
				continue
			}
			name, id := names[r.IntN(len(names))], workers[r.IntN(len(workers))].ID
			f := func(list []hosts.Worker) []hosts.Worker { return withOddEntry(list, oddEntries[name], id) }
			change.Store(&f)
			pool.log.Info().Str("odd", name).Str("host", id).Msg("an entry is odd from now on")
			time.Sleep(time.Duration(200+r.IntN(4800)) * time.Millisecond)
			change.Store(nil)
		}
	}()
}

// TestModelOddEntries does the same as TestModel while one entry after the other of the list
// that owners read is odd, as another writer may leave it. MODEL_ODD limits it to one kind.
func TestModelOddEntries(t *testing.T) {
	names := sortedKeys(oddEntries)
	if only := os.Getenv("MODEL_ODD"); only != "" {
		names = []string{only}
	}
	for seed := range seeds() / 2 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			pool := run(t, seed, func(pool *testPool) { pool.makeEntriesOdd(rand.New(rand.NewPCG(seed, 10)), names) })
			require.Empty(t, pool.workers.Violations())
			pool.requireJobsEnded(t)
		})
	}
}
