package agent

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"shallotpaddle/plat"
	"shallotpaddle/platform"
	"shallotpaddle/policy"
	"shallotpaddle/steps"
)

// rig is an agent on a store that answers with a status, or serves if that is 0.
type rig struct {
	*Agent
	status atomic.Int32
	taken  map[string]bool
}

func newRig(t *testing.T) *rig {
	r := &rig{taken: map[string]bool{}}
	srv := httptest.NewServer(http.HandlerFunc(r.serve))
	t.Cleanup(srv.Close)
	set := &platform.Settings{Name: "e", Store: strings.TrimPrefix(srv.URL, "http://")}
	r.Agent = New(set, "", quartz.NewReal(), &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
	r.version.Store(&policy.Version{Number: 1, Queues: []policy.Queue{{Name: "q", Pool: "p"}}, Pools: []policy.Pool{{Name: "p"}}})
	return r
}

// serve answers conditional writes that create one key, and finds no other.
func (r *rig) serve(w http.ResponseWriter, req *http.Request) {
	if s := int(r.status.Load()); s != 0 {
		w.WriteHeader(s)
		return
	}
	var in struct{ Puts []struct{ Key string } }
	if req.Method != http.MethodPost || json.NewDecoder(req.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if key := in.Puts[0].Key; r.taken[key] {
		w.WriteHeader(http.StatusPreconditionFailed)
	} else {
		r.taken[key] = true
	}
	_, _ = w.Write([]byte(`{"Revision":5,"items":[]}`))
}

func (r *rig) submit() platform.Answer {
	q := &r.version.Load().Queues[0]
	return r.desk.submit(context.Background(), q, &steps.Job{ID: "5c0e7a21d94b36f8", Steps: []steps.Step{{Count: 1}}})
}

func TestSubmitAgainIsOneJob(t *testing.T) {
	r := newRig(t)
	_, err := r.store.Get(context.Background(), "any") // hears of the store
	require.Error(t, err)
	require.Equal(t, platform.Done, r.submit().Outcome)
	require.Equal(t, platform.Done, r.submit().Outcome)
	require.Len(t, r.taken, 1)
}

// TestSubmitIsNeverSaidNotToRunUnasked repeats an accepted job at an entry that
// the store does not serve: it can't say that the job will not run.
func TestSubmitIsNeverSaidNotToRunUnasked(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusInternalServerError} {
		r := newRig(t)
		_, err := r.store.Get(context.Background(), "any")
		require.Error(t, err)
		require.Equal(t, platform.Done, r.submit().Outcome)
		r.status.Store(int32(status))
		begun := time.Now()
		a := r.submit()
		require.Equal(t, platform.Unknown, a.Outcome, status)
		require.Positive(t, a.Retry)
		require.Less(t, time.Since(begun), 2*time.Second, "said at once, not when the caller's time is over")
		require.Eventually(t, r.cutOff, 5*time.Second, 10*time.Millisecond)
		begun = time.Now()
		require.Equal(t, platform.Unknown, r.submit().Outcome)
		require.Less(t, time.Since(begun), giveUpAfter, "without a call to the store")
		require.False(t, r.ready())
	}
}

func TestStateIsNotSaidAbsentUnasked(t *testing.T) {
	r := newRig(t)
	q := &r.version.Load().Queues[0]
	require.Equal(t, platform.Refused, r.desk.state(context.Background(), q, "5c0e7a21d94b36f8").Outcome, "never heard of the store")
	_, err := r.store.Get(context.Background(), "any")
	require.Error(t, err)
	require.Equal(t, platform.Absent, r.desk.state(context.Background(), q, "5c0e7a21d94b36f8").Outcome)
	r.status.Store(http.StatusServiceUnavailable)
	require.Equal(t, platform.Refused, r.desk.state(context.Background(), q, "5c0e7a21d94b36f8").Outcome)
}

// TestConfigurationNeverGoesBack reads an older configuration after a newer one,
// as a list after a gap in the history may show it.
func TestConfigurationNeverGoesBack(t *testing.T) {
	r := newRig(t)
	r.elector = r.newElector(t.Context())
	config := func(n string) plat.Item { return plat.Item{Key: "op/config", Value: []byte(`{"Version":` + n + `}`)} }
	for _, c := range []struct {
		number string
		want   int64
	}{{"7", 7}, {"5", 7}, {"7", 7}, {"12", 12}, {`"x"`, 12}} {
		r.takeOperator(config(c.number))
		require.Equal(t, c.want, r.version.Load().Number)
	}
	r.takeOperator(plat.Item{Key: "op/config", Gone: true})
	require.Equal(t, int64(12), r.version.Load().Number)
}
