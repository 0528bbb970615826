package agent

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/plat"
	"shallotpaddle/platform"
)

// TestReturnOfSilentStoreIsNoticed has a store that gives no answers for some time, and a
// write under way. The entry must notice the return, and repeat the write, long before the
// write's call is timed out.
func TestReturnOfSilentStoreIsNoticed(t *testing.T) {
	r := newTestAgent(t)
	_, err := r.store.Get(t.Context(), "any")
	require.Error(t, err)
	go r.probeSilentStore(t.Context())
	r.silent.Store(true)
	create := func(key string) error {
		_, _, err := r.writer.Commit(t.Context(), plat.Txn{Expect: []plat.Condition{{Key: key}}, Puts: []plat.Put{{Key: key}}})
		return err
	}
	var wg sync.WaitGroup
	for i := range 5 { // use up the repeats of overdue writes
		wg.Go(func() { require.Error(t, create(fmt.Sprint("k", i))) })
	}
	wg.Wait()
	require.True(t, r.storeUnreachable())
	begun := time.Now()
	time.AfterFunc(platform.StoreTimeout/8, func() { r.silent.Store(false) })
	require.NoError(t, create("k"))
	require.Less(t, time.Since(begun), platform.StoreTimeout/2)
	require.False(t, r.storeUnreachable())
}

// waitSilently blocks a call while the store is silent, and after, as such calls get no
// answer.
func (r *testAgent) waitSilently(req *http.Request) bool {
	if !r.silent.Load() {
		return false
	}
	_, _ = io.Copy(io.Discard, req.Body) // or the end of the connection goes unnoticed
	<-req.Context().Done()
	return true
}
