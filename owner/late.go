package owner

import "time"

// lateOrders tells until when orders to one incarnation of a worker that got no answer may
// be carried out. The next incarnation with the same ID would take them for its own.
type lateOrders struct {
	startedMs int64 // of the incarnation for which they are meant
	// lease is the time for orders that extend the lease: their time on the worker's clock
	// is far ahead of that of an incarnation whose clock has started anew, so that it gives
	// its longest lease. ack is the time for polls that acknowledge ends: the ends of the
	// next incarnation have the same numbers.
	lease, ack time.Time
}

// recordLateOrder records that an order which extends the lease got no answer; acks tells
// whether it acknowledges ends.
func (o *Owner) recordLateOrder(h *host, sent time.Time, acks bool) {
	l, until := o.lateOrders[h.id], sent.Add(maxOrderDelay)
	l.startedMs, l.lease = h.startedMs, later(l.lease, until)
	if acks {
		l.ack = later(l.ack, until)
	}
	o.lateOrders[h.id] = l
}

// inheritLateOrders makes a new incarnation of a worker wait for the orders to an earlier one
// that may still be carried out there: it gets no work while its ends may be dropped
// unread, and its lease may be longer than this owner has given.
func (o *Owner) inheritLateOrders(h *host) {
	l, ok := o.lateOrders[h.id]
	if !ok || l.startedMs == h.startedMs {
		return
	}
	h.noRoomUntil, h.lateLeases = l.ack, l.lease
	o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Int64("born", h.startedMs).Int64("bornBefore", l.startedMs).
		Dur("noWorkFor", max(l.ack.Sub(o.Clock.Now()), 0)).Msg("orders to an earlier incarnation may still be carried out")
}

// inheritedLease returns the longest lease that others than this owner may have given a
// worker that has just answered for the first time: an earlier owner until now, or an order
// to an earlier incarnation that is carried out late.
func (o *Owner) inheritedLease(h *host, now time.Time) time.Duration {
	if h.lateLeases.After(now) {
		return h.lateLeases.Sub(now) + o.Bounds.MaxLease
	}
	return leaseCap
}

// forgetLateOrders drops the orders that can't be carried out any more.
func (o *Owner) forgetLateOrders(now time.Time) {
	for id, l := range o.lateOrders {
		if now.After(l.lease) {
			delete(o.lateOrders, id)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
