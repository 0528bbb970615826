package owner

import (
	"slices"
	"time"
)

// lateOrders tells until when orders to one incarnation of a worker that got no answer may
// be carried out. A later incarnation with the same ID would take them for its own.
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
	list := o.lateOrders[h.id]
	i := slices.IndexFunc(list, func(l *lateOrders) bool { return l.startedMs == h.startedMs })
	if i < 0 {
		i = len(list)
		list = append(list, &lateOrders{startedMs: h.startedMs})
		o.lateOrders[h.id] = list
	}
	until := sent.Add(maxOrderDelay)
	list[i].lease = later(list[i].lease, until)
	if acks {
		list[i].ack = later(list[i].ack, until)
	}
}

// inheritLateOrders makes a new incarnation of a worker wait for the orders to earlier ones
// that may still be carried out there: it gets no work while its ends may be dropped
// unread, and its lease may be longer than this owner has given.
func (o *Owner) inheritLateOrders(h *host) {
	h.formerLease = o.formerOrdersMayCome(o.Clock.Now())
	for _, l := range o.lateOrders[h.id] {
		if l.startedMs == h.startedMs {
			continue
		}
		h.noRoomUntil, h.lateLeases = later(h.noRoomUntil, l.ack), later(h.lateLeases, l.lease)
		o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Int64("born", h.startedMs).Int64("bornBefore", l.startedMs).
			Dur("noWorkFor", max(l.ack.Sub(o.Clock.Now()), 0)).Msg("orders to an earlier incarnation may still be carried out")
	}
}

// inheritedLease returns the longest lease that others than this owner may have given a
// worker that has just answered for the first time: an earlier owner until now, or an order
// to an earlier incarnation that is carried out late.
func (o *Owner) inheritedLease(h *host, now time.Time) time.Duration {
	switch {
	case now.Before(h.lateLeases.Add(o.longestLease())):
		return max(h.lateLeases.Sub(now), 0) + o.Bounds.MaxLease
	case h.formerLease:
		return o.Bounds.MaxLease
	default:
		return max(leaseCap, h.longerLease)
	}
}

// longestLease returns how long the longest lease that a worker grants lasts at most.
func (o *Owner) longestLease() time.Duration {
	return time.Duration(float64(o.Bounds.MaxLease)/(1-maxClockSlowness)) + leaseSlack
}

// forgetLateOrders drops the orders of which nothing is in force any more.
func (o *Owner) forgetLateOrders(now time.Time) {
	for id, list := range o.lateOrders {
		list = slices.DeleteFunc(list, func(l *lateOrders) bool { return now.After(l.lease.Add(o.longestLease())) })
		o.lateOrders[id] = list
		if len(list) == 0 {
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
