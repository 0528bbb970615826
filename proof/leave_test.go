package proof

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/fakes"
	"shallotpaddle/plat"
	"shallotpaddle/table"
)

// leaveLimit is the time after which a leaving host must start no new task.
const leaveLimit = 5 * time.Second

// TestLeave has a host leave under load, in each way that it can. After leaveLimit
// no task starts on it; once it is back, it gets tasks again.
func TestLeave(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		leave   func(f *fleet)
		restore func(f *fleet)
	}{
		{
			"platform lists it as leaving",
			func(f *fleet) { f.setHostState("w00", plat.StateLeaving) },
			func(f *fleet) { f.setHostState("w00", plat.StateLive) },
		},
		{
			"worker refuses while the list lags",
			func(f *fleet) {
				f.setFaults(fakes.Fault{Kind: fakes.FaultLag, Delay: table.Duration(time.Minute)})
				f.sendJSON(http.MethodPost, f.workerAddrs["w00"], "/fault", map[string]any{"leaving": true})
			},
			func(f *fleet) {
				f.setFaults()
				f.sendJSON(http.MethodPost, f.workerAddrs["w00"], "/fault", map[string]any{"leaving": false})
			},
		},
		{
			"operator drains it while the watch is cut",
			func(f *fleet) {
				f.setFaults(fakes.Fault{Kind: fakes.FaultCut, Class: "watch"})
				code, err := f.callOperatorAPI(f.entries[1], http.MethodPost, "/v1/hosts/w00/drain", "", nil)
				require.Equal(f.t, http.StatusAccepted, code, "%v", err)
			},
			func(f *fleet) { f.setFaults() },
		},
		{
			"leaves and is back within a second, then leaves",
			func(f *fleet) {
				f.setHostState("w00", plat.StateLeaving)
				<-time.After(500 * time.Millisecond)
				f.setHostState("w00", plat.StateLive)
				<-time.After(300 * time.Millisecond)
				f.setHostState("w00", plat.StateLeaving)
			},
			func(f *fleet) { f.setHostState("w00", plat.StateLive) },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3, 8)
			l := f.startLoad(48, loadSpec{kind: "incident", run: 60 * time.Millisecond, size: 100})
			eventually(t, 10*time.Second, "a task started on the host", func() bool { return f.lastTaskStart("w00") > 0 })
			c.leave(f)
			leftAt := time.Now()
			<-time.After(leaveLimit + 3*time.Second)
			sinceLeave := time.Unix(0, f.lastTaskStart("w00")).Sub(leftAt)
			if c.name != "operator drains it while the watch is cut" {
				// A drained host is rebooted and then used again, so tasks may start on it.
				require.Less(t, sinceLeave, leaveLimit, "a task started on the leaving host after the limit")
			}
			c.restore(f)
			restoredAt := time.Now().UnixNano()
			eventually(t, 30*time.Second, "the host is used again", func() bool { return f.lastTaskStart("w00") > restoredAt })
			l.finish()
			tasks := f.startedTasks()
			require.Empty(t, cutTasks(tasks))
			checkResults(t, l, tasks, false)
		})
	}
}

// setHostState changes the state of a host in the platform's list of hosts.
func (f *fleet) setHostState(host, state string) {
	for i := range f.workers {
		if f.workers[i].Name == host {
			f.workers[i].State = state
		}
	}
	f.putPlatform("/hosts", map[string]any{"hosts": f.workers})
}

// lastTaskStart returns when the last task on a host started, in nanoseconds of
// Unix time, 0 if none has.
func (f *fleet) lastTaskStart(host string) int64 {
	var last int64
	for _, r := range f.startedTasksOn(host) {
		last = max(last, r.Began)
	}
	return last
}
