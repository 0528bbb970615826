package owner

import metrics "github.com/rcrowley/go-metrics"

// Stats are the metrics of all owners in a process.
type Stats struct {
	Starts, Refused, Unanswered metrics.Counter // orders to start
	EvidenceLost                metrics.Counter // owners that ran out of evidence
	Stops, Polls, PollsFailed   metrics.Counter
	Paces                       metrics.Counter // orders to pace
	// AnsweredByNext are the starts answered by a later incarnation than was meant.
	AnsweredByNext   metrics.Counter
	Ends, EndsFailed metrics.Counter
	// Withheld is the number of ends that are read and withheld from their workers now.
	Withheld metrics.Counter
	RunsLost metrics.Counter // with their workers
	// GivenUp are the workers that were given up with runs, or without an answer although they
	// may have had runs of an earlier owner; GivenUpUnanswered are the latter.
	GivenUp, GivenUpUnanswered metrics.Counter
	LeasesInDoubt              metrics.Counter // given while a later owner may have been elected
	CrashesGivenUp             metrics.Counter // jobs given up as a subtask crashes workers
	Jobs, Cancels              metrics.Counter
	Spilled                    metrics.Counter // jobs that wait in the store for memory now
	Excess                     metrics.Counter // jobs beyond the entitlement of their workspace
	Loads                      metrics.Counter // loads of full pools that were published
	Commits, CommitsFailed     metrics.Counter
	WatchesFailed              metrics.Counter
	// QuotaWrites are the writes of grants. QuotaConflicts are those that others were faster
	// than, and QuotaUnanswered those that may or may not have been carried out.
	QuotaWrites, QuotaConflicts, QuotaUnanswered metrics.Counter
	// Starving counts the steps for which room was kept, as smaller subtasks were started instead.
	Starving metrics.Counter
	// QuotaWaits counts the workspaces that waited for quota, each once in quotaLogInterval.
	QuotaWaits metrics.Counter
	// Questions are those to the advisor. QuestionsLate are those whose tickets can't be
	// proved to be valid when they arrive.
	Questions, QuestionsFailed, QuestionsLate metrics.Counter
	// Tickets are those of the advisor's answers, TicketsLate those that had run out on
	// arrival, and TicketsUsed those that a start has carried.
	Tickets, TicketsLate, TicketsUsed metrics.Counter
	// NoisePairs is the number of pairs of images whose harm is known now, NoiseSamples the tail
	// latencies from which it is learned. NoiseMoved are the starts on another worker than
	// without it, NoisePaced those of filling subtasks at less than full speed.
	NoisePairs, NoiseSamples, NoiseMoved, NoisePaced metrics.Counter
	// Wait is the time from a job's acceptance to its first start, Commit the
	// duration of a write to the store, AdviceWait the time for which a pool waited for its
	// turn to ask the advisor, all in microseconds.
	Wait, Commit, AdviceWait metrics.Histogram
}

// Size and decay of the histograms' reservoir samples.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

// NewStats registers the metrics with the prefix "owner." and returns them.
func NewStats(reg metrics.Registry) *Stats {
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter("owner."+name, reg) }
	histogram := func(name string) metrics.Histogram {
		return metrics.NewRegisteredHistogram("owner."+name, reg, metrics.NewExpDecaySample(sampleSize, sampleDecay))
	}
	return &Stats{
		Starts: counter("starts"), Refused: counter("refused"), Unanswered: counter("unanswered"), AnsweredByNext: counter("starts.next"),
		Paces: counter("paces"), Stops: counter("stops"), Polls: counter("looks"), PollsFailed: counter("looks.failed"),
		Ends: counter("ends"), EndsFailed: counter("ends.failed"), Withheld: counter("ends.withheld"), RunsLost: counter("runs.lost"),
		GivenUp: counter("workers.givenup"), GivenUpUnanswered: counter("workers.givenup.unanswered"), LeasesInDoubt: counter("leases.doubt"), EvidenceLost: counter("evidence.lost"), CrashesGivenUp: counter("crashes.givenup"), Jobs: counter("jobs"), Spilled: counter("jobs.spilled"), Excess: counter("jobs.excess"), Loads: counter("loads"), Cancels: counter("cancels"),
		Commits: counter("commits"), CommitsFailed: counter("commits.failed"), WatchesFailed: counter("watches.failed"),
		QuotaWrites: counter("quota.writes"), QuotaConflicts: counter("quota.conflicts"), QuotaUnanswered: counter("quota.unanswered"), QuotaWaits: counter("quota.waits"), Starving: counter("starving"),
		Questions: counter("questions"), QuestionsFailed: counter("questions.failed"), QuestionsLate: counter("questions.late"),
		Tickets: counter("tickets"), TicketsLate: counter("tickets.late"), TicketsUsed: counter("tickets.used"),
		NoisePairs: counter("noise.pairs"), NoiseSamples: counter("noise.samples"), NoiseMoved: counter("noise.moved"), NoisePaced: counter("noise.paced"),
		Wait: histogram("wait"), Commit: histogram("commit"), AdviceWait: histogram("advice.wait"),
	}
}
