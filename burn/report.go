package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"shallotpaddle/table"
)

// BudgetPeriod is the time over which an error budget is reckoned.
const BudgetPeriod = 72 * time.Hour

// windows are the spans that a report looks at, shortest first.
var windows = []struct {
	span   time.Duration
	coarse bool // reckoned in coarse buckets
}{
	{5 * time.Minute, false},
	{30 * time.Minute, false},
	{time.Hour, false},
	{6 * time.Hour, true},
	{24 * time.Hour, true},
	{BudgetPeriod, true},
}

// Alerts of a queue or customer, the most urgent last.
const (
	OK     = "ok"
	Watch  = "watch"  // spends more than its budget over days
	Ticket = "ticket" // the budget is gone within 12 hours at this rate
	Page   = "page"   // the budget is gone within 5 hours at this rate
)

// alerts fire when both a long and a short window burn at least at rate.
var alerts = []struct {
	name        string
	long, short int // index in windows
	rate        float64
}{
	{Page, 2, 0, 14.4},
	{Ticket, 3, 1, 6},
	{Watch, 5, 3, 1},
}

// Report is the burn of all queues at one time. It is a document: JSON is its
// form on the wire.
type Report struct {
	Time time.Time `json:"time"`
	// Entries is the number of entries whose counts are in the report.
	Entries int `json:"entries"`
	// Queues are sorted by name.
	Queues   []Queue `json:"queues"`
	Measures Sums    `json:"measures"`
}

// Queue is the burn of one queue.
type Queue struct {
	Name      string         `json:"name"`
	Pool      string         `json:"pool"`
	Target    table.Duration `json:"target"`
	Objective float64        `json:"objective"`
	Row
	// Customers are sorted by name.
	Customers []Customer `json:"customers"`
	// Points are the queue's history, oldest first; spans without work are left out.
	Points []Point `json:"points"`
}

// Customer is the burn of one customer's work in a queue.
type Customer struct {
	Name string `json:"name"`
	Row
}

// Row holds counts and what follows from them.
type Row struct {
	Good    int64 `json:"good"` // since the entries started
	Late    int64 `json:"late"`
	Refused int64 `json:"refused"`
	Unknown int64 `json:"unknown"`
	// Windows are in the order 5m, 30m, 1h, 6h, 24h, 72h.
	Windows []Window `json:"windows"`
	// Left is the share of the error budget of the last Period that is not
	// spent; below 0 when the objective is missed.
	Left float64 `json:"left"`
	// Lasts is how long the rest lasts at the rate of the last hour; nil when
	// nothing is being spent.
	Lasts *table.Duration `json:"lasts,omitempty"`
	Alert string          `json:"alert"`
}

// Window is the work of one span up to now.
type Window struct {
	Span table.Duration `json:"span"`
	Good int64          `json:"good"`
	Bad  int64          `json:"bad"`
	// Rate is the burn rate; 0 without work.
	Rate float64 `json:"rate"`
}

// Point is the work of one bucket of history.
type Point struct {
	Time time.Time `json:"time"` // start of the bucket
	Good int64     `json:"good"`
	Bad  int64     `json:"bad"`
}

// Report returns the burn of the configuration's queues, and forgets the counts
// of other queues.
func (r *Recorder) Report(c *table.Config) Report {
	now := r.Now()
	out := Report{Time: now.UTC(), Entries: 1, Queues: make([]Queue, len(c.Queues))}
	index := make(map[string]*Queue, len(c.Queues))
	for i := range c.Queues {
		q := &c.Queues[i]
		out.Queues[i] = Queue{Name: q.Name, Pool: q.Pool, Target: q.Target, Objective: q.Objective, Row: newRow()}
		index[q.Name] = &out.Queues[i]
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prune(c)
	for p, s := range r.series {
		s.fine.advance(now)
		s.coarse.advance(now)
		index[p.queue].addSeries(p.customer, s)
	}
	for i := range out.Queues {
		out.Queues[i].finish()
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

func (q *Queue) addSeries(customer string, s *series) {
	row := newRow()
	row.Good, row.Late = s.totals[Good], s.totals[Late]
	row.Refused, row.Unknown = s.totals[Refused], s.totals[Unknown]
	for i, w := range windows {
		g := &s.fine
		if w.coarse {
			g = &s.coarse
		}
		row.Windows[i].Good, row.Windows[i].Bad = g.sum(int(w.span / g.step))
	}
	q.add(&row)
	q.Customers = append(q.Customers, Customer{customer, row})
	points := make([]Point, 0, coarseCount)
	for i := coarseCount - 1; i >= 0; i-- {
		if b := s.coarse.at(i); b != (count{}) {
			start := time.Unix(0, (s.coarse.last-int64(i))*int64(coarseStep)).UTC()
			points = append(points, Point{start, int64(b.good), int64(b.bad)})
		}
	}
	q.Points = mergePoints(q.Points, points)
}

// add adds the counts of other to the row.
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

// finish sorts the customers and works out what follows from the counts.
func (q *Queue) finish() {
	slices.SortFunc(q.Customers, func(a, b Customer) int { return cmp.Compare(a.Name, b.Name) })
	q.Row.finish(q.Objective)
	for i := range q.Customers {
		q.Customers[i].Row.finish(q.Objective)
	}
}

func (r *Row) finish(objective float64) {
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
	// Over the whole period the burn rate is the share of the budget spent.
	r.Left = 1 - r.Windows[len(windows)-1].Rate
	r.Lasts = lasts(r.Left, r.Windows[2].Rate)
	for _, a := range alerts {
		if r.Windows[a.long].Rate >= a.rate && r.Windows[a.short].Rate >= a.rate {
			r.Alert = a.name
			return
		}
	}
}

func lasts(left, rate float64) *table.Duration {
	if rate <= 0 {
		return nil
	}
	d := max(left, 0) / rate * float64(BudgetPeriod)
	out := table.Duration(time.Duration(min(d, float64(1000*BudgetPeriod))).Round(time.Second))
	return &out
}

// Merge returns the report of several entries together. Names, targets and
// objectives are those of the first report that has a queue.
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
		queues[name].finish()
		out.Queues = append(out.Queues, *queues[name])
	}
	return out
}

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

// mergePoints adds two lists that are sorted by time.
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

// TrimCustomers keeps the customers of each queue with most bad work, at most limit of
// them, and adds the others up under Other.
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
		q.finish()
	}
}

func (r *Row) bad() int64 { return r.Late + r.Refused + r.Unknown }
