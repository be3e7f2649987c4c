package zones

import (
	"slices"

	"github.com/pomeloworks/pomelo"
)

// carryPeriod is the time, in milliseconds, for which an order that the store's copy lacks stays in effect after the first list of the epoch: the operators write again what was lost.
const carryPeriod = pomelo.Millis(5_000)

// order is the record of one evacuated zone.
type order struct {
	revision pomelo.Revision
	// carried marks an order of an earlier epoch that the store's list of the present one lacks.
	carried bool
}

// Evacuations is the set of evacuated zones; its times are monotonic, and it is not safe for concurrent use. Each method returns the zones whose state it changed.
type Evacuations struct {
	orders     map[string]order
	listedAt   pomelo.Position
	listed     bool
	carryUntil pomelo.Millis
}

// New returns an empty set.
func New() *Evacuations {
	return &Evacuations{orders: map[string]order{}}
}

// Zones returns the evacuated zones in alphabetical order.
func (e *Evacuations) Zones() []string {
	out := make([]string, 0, len(e.orders))
	for zone := range e.orders {
		out = append(out, zone)
	}
	slices.Sort(out)
	return out
}

// Replace applies a complete list, read at a state of the store that is not in an earlier epoch than the list before.
func (e *Evacuations) Replace(records []pomelo.EvacuationRecord, at pomelo.Position, now pomelo.Millis) []pomelo.EvacuationRecord {
	if e.listed && at.Epoch > e.listedAt.Epoch {
		e.carryUntil = now + carryPeriod
		e.carryAll()
	}
	e.listed = true
	e.listedAt = at
	var changes []pomelo.EvacuationRecord
	listed := map[string]bool{}
	for _, r := range records {
		listed[r.Zone] = true
		changes = append(changes, e.set(r)...)
	}
	for _, zone := range e.Zones() {
		if !listed[zone] && !e.orders[zone].carried {
			changes = append(changes, e.end(zone, at.Revision)...)
		}
	}
	return changes
}

// Apply applies a change of the list's epoch, in the order of revisions. A change that the list or a later record already shows is ignored: a watch begins at an earlier revision than the list.
func (e *Evacuations) Apply(r pomelo.EvacuationRecord) []pomelo.EvacuationRecord {
	o, known := e.orders[r.Zone]
	if r.Revision <= e.listedAt.Revision || known && !o.carried && r.Revision <= o.revision {
		return nil
	}
	if r.Ended {
		return e.end(r.Zone, r.Revision)
	}
	return e.set(r)
}

// DropCarried ends the orders that were not written again, once a read of the store that began at provenAt shows that the operators had the time to.
func (e *Evacuations) DropCarried(provenAt pomelo.Millis) []pomelo.EvacuationRecord {
	if provenAt < e.carryUntil {
		return nil
	}
	var changes []pomelo.EvacuationRecord
	for _, zone := range e.Zones() {
		if e.orders[zone].carried {
			changes = append(changes, e.end(zone, e.listedAt.Revision)...)
		}
	}
	return changes
}

// carryAll marks all orders as those of an earlier epoch.
func (e *Evacuations) carryAll() {
	for zone, o := range e.orders {
		o.carried = true
		e.orders[zone] = o
	}
}

func (e *Evacuations) set(r pomelo.EvacuationRecord) []pomelo.EvacuationRecord {
	_, known := e.orders[r.Zone]
	e.orders[r.Zone] = order{revision: r.Revision}
	if known {
		return nil
	}
	return []pomelo.EvacuationRecord{r}
}

func (e *Evacuations) end(zone string, at pomelo.Revision) []pomelo.EvacuationRecord {
	if _, known := e.orders[zone]; !known {
		return nil
	}
	delete(e.orders, zone)
	return []pomelo.EvacuationRecord{{Zone: zone, Revision: at, Ended: true}}
}
