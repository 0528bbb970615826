package agent

import (
	"context"
	"time"
)

// probePeriod is how often an entry probes a store that serves none of its calls, and how
// long it waits for the answer. The store usually answers in 4 ms.
const probePeriod = 100 * time.Millisecond

// probeSilentStore probes the store while it serves no calls, until the context ends: other
// calls wait for their answer for platform.StoreTimeout, and would tell of its return as
// much later.
func (a *Agent) probeSilentStore(ctx context.Context) {
	t := a.clock.NewTicker(probePeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if a.storeUnreachable() && a.store.Probe(ctx, probePeriod) == nil {
			a.log.Info().Msg("store is back")
		}
	}
}
