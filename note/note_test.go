package note

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/table"
)

var now = time.Date(2031, 4, 2, 9, 0, 0, 0, time.UTC)

const first = `note: first
against: 0
operator: litia
added:
  pools: [{name: diary, size: 12, budget: 3, reserve: 1, period: 672h}, {name: spare, size: 8, budget: 2, spare: true}]
  queues: [{name: naps, pool: diary, target: 1s, objective: 0.999}]
  customers: [{name: nasese, rank: 1, quota: 0.5}]
  jobs: [{name: nap, queue: naps, rank: 2, run: 1s, idempotent: true}]
`

func accept(t *testing.T, h ConfigDoc, text string) ConfigDoc {
	t.Helper()
	n, err := Parse("", []byte(text))
	require.NoError(t, err)
	out, err := h.Accept(n, now)
	require.NoError(t, err)
	return out
}

func TestAccept(t *testing.T) {
	h := accept(t, ConfigDoc{}, first)
	require.EqualValues(t, 1, h.Config.Rev)
	require.Len(t, h.Notes[0].Lines, 5)

	next := accept(t, h, `{note: second, against: 1, operator: semi, changed: {pools: [{name: diary, budget: 4}]}, withdrawn: {pools: [spare]}}`)
	require.EqualValues(t, 2, next.Config.Rev)
	require.Equal(t, table.PoolSpec{Name: "diary", Size: 12, Budget: 4, Reserve: 1, Period: table.Duration(672 * time.Hour)}, next.Config.Pools[0])
	require.Equal(t, []string{"changed pool diary: budget 3 -> 4", "withdrawn pool spare"}, next.Notes[1].Lines)
	require.EqualValues(t, 1, h.Config.Rev, "the first document is unchanged")
	require.Equal(t, 3, h.Config.Pools[0].Budget)

	again := accept(t, next, first)
	require.Equal(t, next, again, "accepting a note again changes nothing")
	a, ok := again.Find("first")
	require.True(t, ok)
	require.EqualValues(t, 1, a.Rev)
}

func TestConflicts(t *testing.T) {
	h := accept(t, ConfigDoc{}, first)
	h = accept(t, h, `{note: second, against: 1, operator: semi, changed: {pools: [{name: diary, budget: 4}]}}`)
	tests := []struct{ name, text, want string }{
		{
			"older revision", `{note: third, against: 1, withdrawn: {pools: [spare]}}`,
			"note third is against revision 1, in force is 2\n" +
				"revision 2, note second, semi, 2031-04-02T09:00:00Z\n  changed pool diary: budget 3 -> 4",
		},
		{
			"later revision", `{note: third, against: 5, withdrawn: {pools: [spare]}}`,
			"note third is against revision 5, in force is 2",
		},
		{
			"id of another note", `{note: first, against: 2, withdrawn: {pools: [spare]}}`,
			"note conflicts with an accepted one: id first was used for revision 1 by litia",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n, err := Parse("", []byte(tt.text))
			require.NoError(t, err)
			_, err = h.Accept(n, now)
			require.ErrorIs(t, err, ErrConflict)
			require.EqualError(t, err, tt.want)
		})
	}
}

func TestHistoryIsBounded(t *testing.T) {
	h := accept(t, ConfigDoc{}, first)
	for i := 1; i < 2*MaxHistory; i++ {
		h = accept(t, h, fmt.Sprintf("{note: n%d, against: %d, changed: {pools: [{name: diary, size: %d}]}}", i, i, 20+i))
	}
	require.Len(t, h.Notes, MaxHistory)
	n, err := Parse("", []byte(first))
	require.NoError(t, err)
	_, err = h.Accept(n, now)
	require.ErrorIs(t, err, ErrConflict, "a note beyond the history is not applied twice")
	require.ErrorContains(t, err, "changes up to revision 32 are no longer kept")
}

func TestFaults(t *testing.T) {
	base := accept(t, ConfigDoc{}, first)
	tests := []struct{ name, body, want string }{
		{"unknown pool", `added: {queues: [{name: q, pool: nope, target: 1s, objective: 0.9}]}`, `added.queues[0].pool: unknown pool "nope"`},
		{"unknown queue", `added: {jobs: [{name: j, queue: nope, rank: 1}]}`, `added.jobs[0].queue: unknown queue "nope"`},
		{"more slots than a host has", `changed: {jobs: [{name: nap, slots: 9}]}`, "changed.jobs[0].slots: 9 is above the 8 slots of any host, so that the job could never run"},
		{"added twice", `added: {customers: [{name: a, rank: 1}, {name: a, rank: 2}]}`, "added.customers[1]: customer a is added twice"},
		{"added existing", `added: {customers: [{name: nasese, rank: 1}]}`, "added.customers[0]: customer nasese exists already; list it under changed"},
		{"changed unknown", `changed: {pools: [{name: nope, size: 3}]}`, `changed.pools[0]: unknown pool "nope"`},
		{"changed twice", `changed: {pools: [{name: diary, size: 13}, {name: diary, size: 14}]}`, "changed.pools[1]: pool diary is changed twice"},
		{"withdrawn unknown", `withdrawn: {jobs: [nope]}`, `withdrawn.jobs[0]: unknown job "nope"`},
		{"withdrawn in use", `withdrawn: {pools: [diary]}`, "withdrawn.pools[0]: pool diary can't be withdrawn: still used by queue naps"},
		{"queue in use", `withdrawn: {queues: [naps]}`, "withdrawn.queues[0]: queue naps can't be withdrawn: still used by job nap"},
		{"withdrawn and added", `added: {customers: [{name: nasese, rank: 1}]}, withdrawn: {customers: [nasese]}`, "added.customers[0]: customer nasese is withdrawn by the same note"},
		{"no budget for maintenance", `changed: {pools: [{name: diary, budget: 1}]}`, "changed.pools[0].budget: 1 less reserve 1 leaves no host for maintenance, want at least 1"},
		{"budget as large as the pool", `changed: {pools: [{name: diary, budget: 12}]}`, "changed.pools[0].budget: 12 is not between 0 and 11, one below the pool's size"},
		{"period too short", `changed: {pools: [{name: diary, period: 59m}]}`, "changed.pools[0].period: 59m is too short: 12 hosts, 2 at once, take at least 1h"},
		{"rank", `changed: {jobs: [{name: nap, rank: 0}]}`, "changed.jobs[0].rank: 0 is not between 1 and 10000"},
		{"quota", `changed: {customers: [{name: nasese, quota: 1.5}]}`, "changed.customers[0].quota: 1.5 is not between 0 and 1"},
		{"objective", `changed: {queues: [{name: naps, objective: 1}]}`, "changed.queues[0].objective: 1 is not above 0 and below 1"},
		{"hours", `changed: {queues: [{name: naps, hours: 8-18, tz: Pacific/Fiji}]}`, `changed.queues[0].hours: "8-18": want HH:MM-HH:MM, two different times of day`},
		{"zone", `changed: {queues: [{name: naps, hours: "08:00-18:00", tz: Fiji/Suva}]}`, `changed.queues[0].tz: unknown time zone "Fiji/Suva"`},
		{"name", `added: {customers: [{name: Nasese, rank: 1}]}`, `added.customers[0].name: "Nasese" is not a name of at most 63 lower case letters, digits and dashes`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n, err := Parse("n.yaml", []byte("{note: n, against: 1, "+tt.body+"}"))
			require.NoError(t, err)
			_, err = base.Accept(n, now)
			require.ErrorIs(t, err, ErrInvalid)
			require.Regexp(t, `^n\.yaml:\d+:\d+: `, err.Error())
			require.True(t, strings.HasSuffix(err.Error(), ": "+tt.want), err.Error())
		})
	}
}

func TestEveryFaultAtOnce(t *testing.T) {
	h := accept(t, ConfigDoc{}, first)
	n, err := Parse("n.yaml", []byte("note: n\nagainst: 1\nchanged:\n  pools:\n    - name: diary\n      size: 0\n      max: -1\n  jobs:\n    - {name: nap, rank: 0, slots: 99}\n"))
	require.NoError(t, err)
	_, err = h.Accept(n, now)
	require.Equal(t, `n.yaml:5:7: changed.pools[0].budget: 3 is not between 0 and 0, one below the pool's size
n.yaml:6:7: changed.pools[0].size: 0 is not between 1 and 10000
n.yaml:7:7: changed.pools[0].max: -1 is not between 1 and 10000
n.yaml:9:19: changed.jobs[0].rank: 0 is not between 1 and 10000
n.yaml:9:28: changed.jobs[0].slots: 99 is above the 8 slots of any host, so that the job could never run`, err.Error())
	_, again := h.Accept(n, now)
	require.Equal(t, err.Error(), again.Error(), "a failed Accept adds no errors to the note")
}

func TestParseFaults(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"unknown key", "note: n\nagainst: 0\nadd: {}\nadded: {customers: [{name: a, rank: 1}]}", "3:1: add: unknown key"},
		{"no revision", "note: n\nadded: {customers: [{name: a, rank: 1}]}", "against: missing, want the revision in force"},
		{"empty", "note: n\nagainst: 0", "adds, changes and withdraws nothing"},
		{"null", "note: n\nagainst:\nadded: {customers: [{name: a, rank: 1}]}", "2:1: against: has no value"},
		{"type", "note: n\nagainst: 0\nadded: {customers: [{name: a, rank: high}]}", `3:31: added.customers[0].rank: want a whole number, not "high"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("", []byte(tt.text))
			require.ErrorIs(t, err, ErrInvalid)
			require.EqualError(t, err, tt.want)
		})
	}
}

func TestSetOperator(t *testing.T) {
	n, err := Parse("n.yaml", []byte(first))
	require.NoError(t, err)
	require.NoError(t, n.SetOperator("litia"))
	require.EqualError(t, n.SetOperator("semi"), "n.yaml:3:1: operator: the note names litia, the credential is semi's")
}

func TestExamples(t *testing.T) {
	for _, user := range []string{"naidu", "peachtree"} {
		text, err := os.ReadFile("../examples/" + user + "/note.yaml")
		require.NoError(t, err)
		h := accept(t, ConfigDoc{}, string(text))
		hosts := 0
		for _, p := range h.Config.Pools {
			hosts += p.Size
		}
		require.Equal(t, 50, hosts)
		require.Len(t, h.Config.Pools, 5)
	}
}

func TestHours(t *testing.T) {
	at := func(hour int) time.Time { return time.Date(2031, 1, 2, hour, 0, 0, 0, time.UTC) }
	day, err := ParseHours("08:00-18:00", "America/New_York") // UTC-5 in January
	require.NoError(t, err)
	require.False(t, day.Open(at(12)))
	require.True(t, day.Open(at(13)))
	require.False(t, day.Open(at(23)))
	night, err := ParseHours("19:00-06:30", "Pacific/Fiji") // UTC+12
	require.NoError(t, err)
	require.True(t, night.Open(at(8)))
	require.True(t, night.Open(at(18)))
	require.False(t, night.Open(at(19)))
	require.True(t, Hours{}.Open(at(0)))
}
