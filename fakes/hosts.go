package fakes

import (
	"fmt"

	"shallotpaddle/plat"
)

// Hosts returns n live hosts without addresses. They are assigned to the data centres
// in turn, perRack hosts to a rack.
func Hosts(prefix string, n int, dcs []string, perRack int) []plat.Host {
	out := make([]plat.Host, n)
	for i := range out {
		dc := dcs[i%len(dcs)]
		out[i] = plat.Host{
			Name: fmt.Sprintf("%s%02d", prefix, i), DC: dc, State: plat.StateLive,
			Rack: fmt.Sprintf("%s-r%d", dc, i/len(dcs)/perRack),
		}
	}
	return out
}
