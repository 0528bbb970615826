package demand

import (
	"fmt"
	"time"
)

// Times of day at which work is submitted. Work that runs at night is submitted in the
// afternoon.
var (
	daytime     = []Peak{{From: 7, To: 18, Factor: 1}}
	lunchPickup = []Peak{{From: 11, To: 13, Factor: 1}, {From: 15, To: 17.5, Factor: 1}, {From: 7, To: 18, Factor: 0.3}}
	afternoon   = []Peak{{From: 15, To: 21, Factor: 1}}
	officeHours = []Peak{{From: 8, To: 17.5, Factor: 1}}
	evening     = []Peak{{From: 18, To: 22, Factor: 1}}
)

// Diaries returns the workload of Naidu & Ratuvou Nursery Diaries: five services with
// 8 to 12 workers each.
func Diaries() *Fleet {
	return &Fleet{Name: "diaries", Zone: "Pacific/Fiji", Customers: RankedCustomers(40), Pools: []Pool{
		{Name: "logs", Hosts: 10, Queues: []Queue{
			{Name: "incidents", Kind: "incident-note", Rank: 1, Load: 17, Run: 2 * time.Second, Off: 0.3, Spread: 0.6, Due: 15 * time.Second, Target: 5 * time.Second, Peaks: daytime},
			{Name: "naps", Kind: "nap-entry", Rank: 2, Load: 20, Run: 3 * time.Second, Off: 3, Spread: 0.6, Due: 30 * time.Second, Target: 5 * time.Second, Peaks: daytime},
			{Name: "meals", Kind: "meal-entry", Rank: 4, Load: 20, Run: 3 * time.Second, Off: 0.25, Spread: 0.8, Due: time.Minute, Target: 10 * time.Second, Peaks: daytime},
		}},
		{Name: "photos", Hosts: 12, Queues: []Queue{
			{Name: "digests", Kind: "photo-digest", Rank: 1, Load: 30, Run: 6 * time.Second, Off: 0.25, Spread: 0.7, Due: 30 * time.Second, Target: 5 * time.Second, Peaks: lunchPickup},
			{Name: "albums", Kind: "album", Rank: 3, Load: 24, Run: 10 * time.Second, Off: 2, Spread: 0.7, Due: 2 * time.Minute, Target: 30 * time.Second, Peaks: lunchPickup},
			{Name: "reports", Kind: "term-report", Rank: 5, Load: 75, Run: 4 * time.Minute, Off: 0.3, Spread: 0.5, DueAt: "07:00", Target: time.Hour, Peaks: afternoon},
			{Name: "allergies", Kind: "allergy-summary", Rank: 2, Load: 20, Run: 90 * time.Second, Off: 4, Spread: 0.5, DueAt: "06:30", Target: time.Hour, Peaks: afternoon},
		}},
		{Name: "updates", Hosts: 10, Queues: []Queue{
			{Name: "pushes", Kind: "push", Rank: 1, Load: 22, Run: time.Second, Off: 0.5, Spread: 0.4, Due: 10 * time.Second, Target: 3 * time.Second, Peaks: lunchPickup},
			{Name: "feeds", Kind: "feed", Rank: 2, Load: 28, Run: 2 * time.Second, Off: 2, Spread: 0.5, Due: 30 * time.Second, Target: 5 * time.Second, Peaks: lunchPickup},
		}},
		{Name: "milestones", Hosts: 8, Queues: []Queue{
			{Name: "stories", Kind: "story", Rank: 3, Load: 20, Run: 5 * time.Second, Off: 0.4, Spread: 0.6, Due: time.Minute, Target: 15 * time.Second, Peaks: daytime},
			{Name: "growth", Kind: "growth-chart", Rank: 4, Load: 16, Run: 8 * time.Second, Off: 3, Spread: 0.6, Due: 5 * time.Minute, Target: time.Minute, Peaks: daytime},
		}},
		{Name: "sign-in", Hosts: 10, Queues: []Queue{
			{Name: "sign-ins", Kind: "sign-in", Rank: 1, Load: 18, Run: 500 * time.Millisecond, Off: 1, Spread: 0.3, Due: 5 * time.Second, Target: time.Second, Peaks: daytime},
		}},
	}}
}

// Badges returns the workload of Peachtree Reunion Badgeworks: five services with 8 to
// 12 workers each, whose work starts in daytime hours only.
func Badges() *Fleet {
	const hours = "08:00-18:00"
	return &Fleet{Name: "badges", Zone: "America/New_York", Customers: RankedCustomers(60), Pools: []Pool{
		{Name: "proofs", Hosts: 10, Queues: []Queue{
			{Name: "proofs", Kind: "proof", Rank: 1, Load: 20, Run: 8 * time.Second, Off: 0.25, Spread: 0.7, Due: time.Minute, Target: 10 * time.Second, Hours: hours, Peaks: officeHours},
			{Name: "reproofs", Kind: "reproof", Rank: 2, Load: 18, Run: 5 * time.Second, Off: 3, Spread: 0.7, Due: 2 * time.Minute, Target: 30 * time.Second, Hours: hours, Peaks: officeHours},
			{Name: "layouts", Kind: "layout", Rank: 5, Load: 18, Run: 20 * time.Second, Off: 0.4, Spread: 0.6, Due: 2 * time.Hour, Target: time.Hour, Hours: hours, Peaks: officeHours},
			{Name: "orders", Kind: "layout", Rank: 5, Load: 12, Run: 20 * time.Second, Off: 0.4, Spread: 0.6, DueAt: "10:00", Target: time.Hour, Hours: hours, Peaks: evening},
		}},
		{Name: "badges", Hosts: 12, Queues: []Queue{
			{Name: "badges", Kind: "badge-run", Rank: 2, Load: 36, Run: 30 * time.Second, Off: 0.3, Spread: 0.6, Due: 30 * time.Minute, Target: 5 * time.Minute, Hours: hours, Peaks: officeHours},
			{Name: "inserts", Kind: "insert-run", Rank: 4, Load: 30, Run: 45 * time.Second, Off: 2, Spread: 0.6, DueAt: "17:00", Target: time.Hour, Hours: hours, Peaks: officeHours},
		}},
		{Name: "cards", Hosts: 9, Queues: []Queue{
			{Name: "cards", Kind: "card-run", Rank: 3, Load: 42, Run: 20 * time.Second, Off: 0.5, Spread: 0.5, Due: time.Hour, Target: 10 * time.Minute, Hours: hours, Peaks: officeHours},
		}},
		{Name: "invoices", Hosts: 8, Queues: []Queue{
			{Name: "invoices", Kind: "invoice", Rank: 4, Load: 24, Run: 4 * time.Second, Off: 1.5, Spread: 0.5, Due: 10 * time.Minute, Target: time.Minute, Hours: hours, Peaks: officeHours},
		}},
		{Name: "office-tools", Hosts: 11, Queues: []Queue{
			{Name: "tools", Kind: "tool", Rank: 3, Load: 20, Run: 2 * time.Second, Off: 1, Spread: 0.5, Due: 30 * time.Second, Target: 5 * time.Second, Hours: hours, Peaks: officeHours},
		}},
	}}
}

// RankedCustomers returns n customers, which have ranks 1 to 5 in rotation. Later
// customers have smaller shares of the work; every third has a quota.
func RankedCustomers(n int) []Customer {
	out := make([]Customer, n)
	for i := range out {
		out[i] = Customer{Name: fmt.Sprintf("customer-%d", i), Rank: 1 + i%5, Share: 1 / float64(1+i/4)}
		if i%3 == 0 {
			out[i].Quota = 0.2
		}
	}
	return out
}
