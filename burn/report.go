package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"shallotpaddle/table"
)

// BudgetPeriod is the time over which an error budget is computed.
const BudgetPeriod = 72 * time.Hour

// windows are the windows of a report, shortest first.
var windows = []struct {
	span   time.Duration
	coarse bool // summed over coarse buckets, not fine ones
}{
	{5 * time.Minute, false},
	{30 * time.Minute, false},
	{time.Hour, false},
	{6 * time.Hour, true},
	{24 * time.Hour, true},
	{BudgetPeriod, true},
}

// Alert levels of a queue or customer, the most urgent last.
const (
	OK     = "ok"
	Watch  = "watch"  // at this rate the budget is spent within 72 hours
	Ticket = "ticket" // at this rate the budget is spent within 12 hours
	Page   = "page"   // at this rate the budget is spent within 5 hours
)

// alertRules are the conditions of the alert levels, the most urgent first: a rule
// applies when the burn rates of both its long and its short window are at least rate.
var alertRules = []struct {
	name        string
	long, short int // indexes in windows
	rate        float64
}{
	{Page, 2, 0, 14.4},
	{Ticket, 3, 1, 6},
	{Watch, 5, 3, 1},
}

// Report holds the error budgets and burn rates of all queues at one time. Entries
// and clients exchange it as JSON.
type Report struct {
	Time time.Time `json:"time"`
	// Entries is the number of entries whose counts are in the report.
	Entries int `json:"entries"`
	// Queues are sorted by name.
	Queues   []Queue `json:"queues"`
	Measures Sums    `json:"measures"`
}

// Queue is the part of a report on one queue.
type Queue struct {
	Name      string         `json:"name"`
	Pool      string         `json:"pool"`
	Target    table.Duration `json:"target"`
	Objective float64        `json:"objective"`
	Row
	// Customers are sorted by name.
	Customers []Customer `json:"customers"`
	// Points are the buckets of the queue's history, oldest first, without those in
	// which no work was counted.
	Points []Point `json:"points"`
}

// Customer is the part of a report on one customer's work in a queue.
type Customer struct {
	Name string `json:"name"`
	Row
}

// Row holds the counts of a queue or customer and the values computed from them.
type Row struct {
	// Good, Late, Refused and Unknown count work since the entries started.
	Good    int64 `json:"good"`
	Late    int64 `json:"late"`
	Refused int64 `json:"refused"`
	Unknown int64 `json:"unknown"`
	// Windows are in the order 5m, 30m, 1h, 6h, 24h, 72h.
	Windows []Window `json:"windows"`
	// Left is the share of the error budget of the last BudgetPeriod that is not
	// spent; it is below 0 when the objective is missed.
	Left float64 `json:"left"`
	// Lasts is the time until the remaining budget is spent at the burn rate of the
	// last hour; nil when that rate is 0.
	Lasts *table.Duration `json:"lasts,omitempty"`
	// Alert is OK, Watch, Ticket or Page.
	Alert string `json:"alert"`
}

// Window counts the work of the latest Span of time.
type Window struct {
	Span table.Duration `json:"span"`
	Good int64          `json:"good"`
	Bad  int64          `json:"bad"`
	// Rate is the burn rate; 0 if there was no work.
	Rate float64 `json:"rate"`
}

// Point counts the work of one bucket of a queue's history.
type Point struct {
	Time time.Time `json:"time"` // start of the bucket
	Good int64     `json:"good"`
	Bad  int64     `json:"bad"`
}

// Report returns the report on the configuration's queues, and deletes the counts of
// queues that are not in it.
func (r *Recorder) Report(c *table.Config) Report {
	now := r.Now()
	out := Report{Time: now.UTC(), Entries: 1, Queues: make([]Queue, len(c.Queues))}
	queueByName := make(map[string]*Queue, len(c.Queues))
	for i := range c.Queues {
		q := &c.Queues[i]
		out.Queues[i] = Queue{Name: q.Name, Pool: q.Pool, Target: q.Target, Objective: q.Objective, Row: newRow()}
		queueByName[q.Name] = &out.Queues[i]
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deleteUnknownQueues(c)
	for key, s := range r.series {
		s.fine.advance(now)
		s.coarse.advance(now)
		queueByName[key.queue].addSeries(key.customer, s)
	}
	for i := range out.Queues {
		out.Queues[i].computeRates()
	}
	return out
}

func newRow() Row {
	row := Row{Windows: make([]Window, len(windows))}
	for i, w := range windows {
		row.Windows[i].Span = table.Duration(w.span)
	}
	return row
}

// addSeries adds the counts of a customer's series to the queue, and a row for the
// customer. The series must have been advanced to the time of the report.
func (q *Queue) addSeries(customer string, s *series) {
	row := newRow()
	row.Good, row.Late = s.totals[Good], s.totals[Late]
	row.Refused, row.Unknown = s.totals[Refused], s.totals[Unknown]
	for i, w := range windows {
		g := &s.fine
		if w.coarse {
			g = &s.coarse
		}
		row.Windows[i].Good, row.Windows[i].Bad = g.sum(int(w.span / g.width))
	}
	q.add(&row)
	q.Customers = append(q.Customers, Customer{customer, row})
	points := make([]Point, 0, coarseBuckets)
	for i := coarseBuckets - 1; i >= 0; i-- {
		if b := s.coarse.bucketAt(i); b != (bucket{}) {
			start := time.Unix(0, (s.coarse.newest-int64(i))*int64(coarseWidth)).UTC()
			points = append(points, Point{start, int64(b.good), int64(b.bad)})
		}
	}
	q.Points = mergePoints(q.Points, points)
}

// add adds the counts of other to the row. It leaves the computed values alone.
func (r *Row) add(other *Row) {
	r.Good += other.Good
	r.Late += other.Late
	r.Refused += other.Refused
	r.Unknown += other.Unknown
	for i := range min(len(r.Windows), len(other.Windows)) {
		r.Windows[i].Good += other.Windows[i].Good
		r.Windows[i].Bad += other.Windows[i].Bad
	}
}

// computeRates sorts the customers by name and computes burn rates, budgets and
// alerts from the counts, of the queue and of its customers.
func (q *Queue) computeRates() {
	slices.SortFunc(q.Customers, func(a, b Customer) int { return cmp.Compare(a.Name, b.Name) })
	q.Row.computeRates(q.Objective)
	for i := range q.Customers {
		q.Customers[i].Row.computeRates(q.Objective)
	}
}

// computeRates computes the burn rates, the remaining budget and the alert from the
// counts. The budget and the alert need all windows; without, they are 1 and OK.
func (r *Row) computeRates(objective float64) {
	allowed := 1 - objective
	for i := range r.Windows {
		w := &r.Windows[i]
		w.Rate = 0
		if n := w.Good + w.Bad; n > 0 && allowed > 0 {
			w.Rate = float64(w.Bad) / float64(n) / allowed
		}
	}
	r.Left, r.Lasts, r.Alert = 1, nil, OK
	if len(r.Windows) != len(windows) {
		return
	}
	// The burn rate over the whole budget period is the share of the budget spent.
	r.Left = 1 - r.Windows[len(windows)-1].Rate
	r.Lasts = timeToExhaustion(r.Left, r.Windows[2].Rate)
	for _, rule := range alertRules {
		if r.Windows[rule.long].Rate >= rule.rate && r.Windows[rule.short].Rate >= rule.rate {
			r.Alert = rule.name
			return
		}
	}
}

// timeToExhaustion returns the time until the remaining share of the budget is spent
// at a burn rate, at most 1000 budget periods; nil when the rate is 0.
func timeToExhaustion(left, rate float64) *table.Duration {
	if rate <= 0 {
		return nil
	}
	d := max(left, 0) / rate * float64(BudgetPeriod)
	out := table.Duration(time.Duration(min(d, float64(1000*BudgetPeriod))).Round(time.Second))
	return &out
}

// Merge returns one report from those of several entries: counts are added up, and
// rates, budgets and alerts computed from the sums. The pool, target and objective of
// a queue are those of the first report that has it.
func Merge(reports ...Report) Report {
	var out Report
	queues := map[string]*Queue{}
	for i := range reports {
		r := &reports[i]
		out.Entries += r.Entries
		if r.Time.After(out.Time) {
			out.Time = r.Time
		}
		out.Measures = out.Measures.merge(r.Measures)
		for k := range r.Queues {
			mergeQueue(queues, &r.Queues[k])
		}
	}
	out.Queues = make([]Queue, 0, len(queues))
	for _, name := range slices.Sorted(maps.Keys(queues)) {
		queues[name].computeRates()
		out.Queues = append(out.Queues, *queues[name])
	}
	return out
}

// mergeQueue adds the counts of from to the queue of the same name, which it adds if
// it is missing.
func mergeQueue(queues map[string]*Queue, from *Queue) {
	q := queues[from.Name]
	if q == nil {
		q = &Queue{Name: from.Name, Pool: from.Pool, Target: from.Target, Objective: from.Objective, Row: newRow()}
		queues[from.Name] = q
	}
	q.add(&from.Row)
	q.Points = mergePoints(q.Points, from.Points)
	for i := range from.Customers {
		c := &from.Customers[i]
		k := slices.IndexFunc(q.Customers, func(x Customer) bool { return x.Name == c.Name })
		if k < 0 {
			k = len(q.Customers)
			q.Customers = append(q.Customers, Customer{c.Name, newRow()})
		}
		q.Customers[k].add(&c.Row)
	}
}

// mergePoints merges two lists of points, sorted by time, and adds up points of the
// same time.
func mergePoints(a, b []Point) []Point {
	out := slices.Concat(a, b)
	slices.SortStableFunc(out, func(x, y Point) int { return x.Time.Compare(y.Time) })
	n := 0
	for _, p := range out {
		if n > 0 && out[n-1].Time.Equal(p.Time) {
			out[n-1].Good += p.Good
			out[n-1].Bad += p.Bad
			continue
		}
		out[n] = p
		n++
	}
	return out[:n]
}

// TrimCustomers keeps, in each queue, the limit customers with the most bad work, and
// adds up the others under OtherCustomer.
func (r *Report) TrimCustomers(limit int) {
	for i := range r.Queues {
		q := &r.Queues[i]
		if len(q.Customers) <= limit {
			continue
		}
		slices.SortStableFunc(q.Customers, func(a, b Customer) int { return cmp.Compare(b.bad(), a.bad()) })
		rest := Customer{OtherCustomer, newRow()}
		for k := range q.Customers[limit:] {
			rest.add(&q.Customers[limit+k].Row)
		}
		q.Customers = append(slices.Clone(q.Customers[:limit]), rest)
		q.computeRates()
	}
}

func (r *Row) bad() int64 { return r.Late + r.Refused + r.Unknown }
