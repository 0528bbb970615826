package drive

import (
	"fmt"
	"time"

	"shallotpaddle/table"
)

// Period is the time within which every host is maintained once.
const Period = 28 * 24 * time.Hour

// Fleet is a named fleet: its layout and the sizes of its pools.
type Fleet struct {
	Name   string
	Layout Layout
	// Sizes are the pools' sizes in hosts; the first pool is the spare one.
	Sizes []int
	// Budget and Reserve are those of every pool, in hosts.
	Budget, Reserve int
}

// Fleets returns fleets of both users' present sizes and one of the size that
// is planned for.
func Fleets() []Fleet {
	large := Fleet{Name: "large", Layout: Layout{DCs: 9, Hosts: 3400, PerRack: 4}, Budget: 8, Reserve: 4}
	for range 20 {
		large.Sizes = append(large.Sizes, 170)
	}
	return []Fleet{
		{Name: "nursery", Layout: Layout{DCs: 4, Hosts: 50, PerRack: 4}, Sizes: []int{10, 12, 11, 9, 8}, Budget: 2, Reserve: 1},
		{Name: "badges", Layout: Layout{DCs: 3, Hosts: 50, PerRack: 4}, Sizes: []int{11, 8, 12, 10, 9}, Budget: 2, Reserve: 1},
		large,
	}
}

// Config returns the fleet's configuration.
func (f Fleet) Config() *table.Config {
	c := &table.Config{Rev: 1}
	for i, n := range f.Sizes {
		c.Pools = append(c.Pools, table.PoolSpec{
			Name: fmt.Sprintf("pool%02d", i), Size: n, Budget: f.Budget, Reserve: f.Reserve,
			Spare: i == 0, Period: table.Duration(Period),
		})
	}
	return c
}

// World returns a new world with the fleet's hosts and configuration.
func (f Fleet) World() *World { return New(f.Config(), f.Layout) }
