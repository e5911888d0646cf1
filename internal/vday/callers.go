package vday

import (
	"maps"
	"slices"

	"chivecroft.example/chivecroft/internal/coordination/link"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// wake lets all who wait for a model try again.
func (d *zonesDriver) wake(model string) {
	for _, z := range d.zones {
		waiting := z.waiting[model]
		delete(z.waiting, model)
		for _, c := range waiting {
			z.admit(c)
		}
	}
}

func (d *zonesDriver) arrive(r Request) {
	d.result.Requests++
	now := d.clock.Now()
	c := &caller{request: r, arrived: now, deadline: now.Add(r.Deadline)}
	for _, z := range d.zones {
		if z.self.Zone == r.Zone {
			d.clock.After(r.Deadline, func() { z.refuse(c, "the load does not end in time") })
			z.admit(c)
		}
	}
}

// admit serves a caller, or lets it wait and tells an owner.
func (z *zoneRun) admit(c *caller) {
	if c.done || z.serve(c) {
		return
	}
	model := c.request.Model
	z.waiting[model] = append(z.waiting[model], c)
	if len(z.waiting[model]) == 1 {
		z.demand(model)
	}
}

// serve begins a request on the nearest ready replica with the least to do.
func (z *zoneRun) serve(c *caller) bool {
	d := z.driver
	row, ok := z.nearest(c.request.Model)
	if !ok {
		return false
	}
	end, ok := d.engines[row.Target].Begin(row.ID)
	if !ok {
		return false
	}
	c.done = true
	wait := d.clock.Now().Sub(c.arrived)
	d.result.Waits = append(d.result.Waits, wait)
	if wait > 0 {
		d.result.ColdWaits = append(d.result.ColdWaits, wait)
	}
	d.running[row.ID]++
	d.clock.After(c.request.Takes, func() {
		end()
		d.running[row.ID]--
	})
	return true
}

func (z *zoneRun) nearest(model string) (ports.Replica, bool) {
	var best ports.Replica
	bestRing := 0
	for _, other := range z.driver.zones {
		if z.driver.cut && other.self.Region != z.self.Region {
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(other.rows)) {
			row := other.rows[id]
			if row.Model != model || row.Phase != ports.PhaseReady || row.Leaving {
				continue
			}
			ring := z.ring(other)
			if best.ID == "" || ring < bestRing || ring == bestRing && z.driver.running[id] < z.driver.running[best.ID] {
				best, bestRing = row, ring
			}
		}
	}
	return best, best.ID != ""
}

// ring is 0 for the own zone, 1 for the own region and 2 beyond.
func (z *zoneRun) ring(other *zoneRun) int {
	switch {
	case z == other:
		return 0
	case z.self.Region == other.self.Region:
		return 1
	}
	return 2
}

// demand asks the zones as an entry does, again and again while callers wait.
func (z *zoneRun) demand(model string) {
	waiting := z.waiting[model]
	if len(waiting) == 0 {
		return
	}
	d := z.driver
	store := ""
	if d.link.Known {
		store = storeRegion
	}
	steps := link.DemandOrder(model, z.self, z.members(), store)
	z.ask(model, steps, ports.DemandReply{}, false)
	d.clock.After(demandEvery, func() { z.demand(model) })
}

// ask tries the steps that are left; best is the best answer so far, and nearFailed
// tells that a zone beside the store gave none.
func (z *zoneRun) ask(model string, steps []link.DemandStep, best ports.DemandReply, nearFailed bool) {
	waiting := z.waiting[model]
	if len(waiting) == 0 {
		return
	}
	if len(steps) == 0 {
		z.unsettled(model, best)
		return
	}
	if steps[0].Load == ports.LoadAcross && nearFailed {
		z.ask(model, steps[1:], best, nearFailed)
		return
	}
	d := z.driver
	demand := ports.Demand{
		Model: model, Class: config.ClassInteractive, Waiting: len(waiting), Load: steps[0].Load,
		Within: waiting[0].deadline.Sub(d.clock.Now()), From: z.self.ID, Zone: z.self.Zone,
	}
	for _, other := range d.zones {
		if other.self.Zone != steps[0].Zone {
			continue
		}
		d.net.From(z.self.Addr).Send(other.self.Addr, demand, func(r ports.PeerReply) {
			reply, _ := r.Msg.(ports.DemandReply)
			if reply.Status == ports.DemandAccepted || reply.Status == ports.DemandQueued && reply.Reason == "" {
				return
			}
			if best.Status != ports.DemandQueued && reply.Status != "" {
				best = reply
			}
			failed := nearFailed || r.Err != nil && steps[0].Load == ports.LoadAnywhere
			z.ask(model, steps[1:], best, failed)
		})
	}
}

// unsettled refuses the callers at once if no load will come.
func (z *zoneRun) unsettled(model string, best ports.DemandReply) {
	if z.driver.link.Known {
		best = link.RefuseIfCutOff(best, link.IsCut(z.self, z.members(), storeRegion))
	}
	if best.Status != ports.DemandRefused {
		return
	}
	for _, c := range slices.Clone(z.waiting[model]) {
		z.driver.result.ToldEarly++
		z.refuse(c, best.Reason)
	}
}

// refuse ends a caller that was not served. It counts with its whole deadline,
// however early it was told.
func (z *zoneRun) refuse(c *caller, reason string) {
	if c.done {
		return
	}
	c.done = true
	d := z.driver
	model := c.request.Model
	z.waiting[model] = slices.DeleteFunc(slices.Clone(z.waiting[model]), func(other *caller) bool { return other == c })
	d.result.Refusals[reasonClass(reason)]++
	d.result.Waits = append(d.result.Waits, c.request.Deadline)
	d.result.ColdWaits = append(d.result.ColdWaits, c.request.Deadline)
}
