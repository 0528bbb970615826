package owner

import metrics "github.com/rcrowley/go-metrics"

// Stats counts what owners do.
type Stats struct {
	Starts, Refused, Unanswered metrics.Counter // orders to start
	Stops, Polls, PollsFailed   metrics.Counter
	Paces                       metrics.Counter // orders to pace
	Ends, EndsFailed            metrics.Counter
	Jobs, Cancels               metrics.Counter
	Commits, CommitsFailed      metrics.Counter
	WatchesFailed               metrics.Counter
	Questions, QuestionsFailed  metrics.Counter // to the advisor
	// Wait is the time from acceptance to a job's first start, Commit that of a
	// write, both in microseconds.
	Wait, Commit metrics.Histogram
}

// Size and decay of the samples of histograms.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

// NewStats returns counters registered under "owner.".
func NewStats(reg metrics.Registry) *Stats {
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter("owner."+name, reg) }
	histogram := func(name string) metrics.Histogram {
		return metrics.NewRegisteredHistogram("owner."+name, reg, metrics.NewExpDecaySample(sampleSize, sampleDecay))
	}
	return &Stats{
		Starts: counter("starts"), Refused: counter("refused"), Unanswered: counter("unanswered"),
		Paces: counter("paces"), Stops: counter("stops"), Polls: counter("looks"), PollsFailed: counter("looks.failed"),
		Ends: counter("ends"), EndsFailed: counter("ends.failed"), Jobs: counter("jobs"), Cancels: counter("cancels"),
		Commits: counter("commits"), CommitsFailed: counter("commits.failed"), WatchesFailed: counter("watches.failed"),
		Questions: counter("questions"), QuestionsFailed: counter("questions.failed"),
		Wait: histogram("wait"), Commit: histogram("commit"),
	}
}
