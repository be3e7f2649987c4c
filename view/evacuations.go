package view

import (
	"context"
	"slices"
	"strings"

	"github.com/pomeloworks/pomelo"
)

// Sources of changes in the log.
const (
	sourceList  = "list"
	sourceWatch = "watch"
	// sourceProof is a read that shows that an order lost in the store's return was not written again.
	sourceProof = "proof"
)

// WithEvacuations reads the evacuations from the records under the prefix; without it, no zone is ever evacuated.
func WithEvacuations(prefix string) func(*View) {
	return func(v *View) { v.evacuationPrefix = prefix }
}

// OnEvacuation registers a function that is called after calls see a zone as evacuated, and before they see the end of its evacuation; it must not block, and must be registered before Run.
func (v *View) OnEvacuation(f func(zone string, evacuated bool)) {
	v.onEvacuation = append(v.onEvacuation, f)
}

// IsEvacuated reports whether the zone is evacuated, as of the last confirmed read of the members; before the first list no zone is known to be.
func (v *View) IsEvacuated(zone string) bool {
	return slices.Contains(*v.evacuated.Load(), zone)
}

// Evacuated returns the evacuated zones in alphabetical order.
func (v *View) Evacuated() []string {
	return *v.evacuated.Load()
}

// listEvacuations lists the evacuations; it must follow the list of the members, from whose revision on changes are watched.
func (v *View) listEvacuations(ctx context.Context) (pomelo.Listing, error) {
	if v.evacuationPrefix == "" {
		return pomelo.Listing{}, nil
	}
	l, err := v.store.List(ctx, v.evacuationPrefix)
	if err == nil {
		// A list of a later epoch than the members' makes both be read again.
		v.observeEpoch(l.Epoch)
	}
	return l, err
}

// replaceEvacuations applies a complete list and returns the changes, which are to be reported; the mutex must be held.
func (v *View) replaceEvacuations(l pomelo.Listing) []pomelo.EvacuationRecord {
	if v.evacuationPrefix == "" {
		return nil
	}
	var records []pomelo.EvacuationRecord
	for _, r := range l.Records {
		if e, ok := v.decodeEvacuation(r); ok {
			records = append(records, e)
		}
	}
	return v.zones.Replace(records, l.Position(), v.clock.Monotonic())
}

// applyEvacuation applies a watched change and reports whether the record is one of an evacuation.
func (v *View) applyEvacuation(r pomelo.Record) bool {
	if v.evacuationPrefix == "" || !strings.HasPrefix(r.Key, v.evacuationPrefix) {
		return false
	}
	e, ok := v.decodeEvacuation(r)
	if !ok {
		return true
	}
	v.mu.Lock()
	changes := v.zones.Apply(e)
	v.mu.Unlock()
	v.reportEvacuations(changes, sourceWatch)
	return true
}

// dropEvacuations ends the evacuations that were not ordered again after the store returned from a copy.
func (v *View) dropEvacuations() {
	v.mu.Lock()
	var changes []pomelo.EvacuationRecord
	if at, ok := v.census.ProvenAt(); ok {
		changes = v.zones.DropCarried(at)
	}
	v.mu.Unlock()
	v.reportEvacuations(changes, sourceProof)
}

// decodeEvacuation returns the order of a record, whatever its value; false if its key names no zone.
func (v *View) decodeEvacuation(r pomelo.Record) (pomelo.EvacuationRecord, bool) {
	zone := strings.TrimPrefix(r.Key, v.evacuationPrefix)
	if zone == "" {
		v.log.Warn("evacuation_unreadable", "key", r.Key, "revision", r.Revision)
	}
	return pomelo.EvacuationRecord{Zone: zone, Revision: r.Revision, Ended: r.Deleted}, zone != ""
}

// reportEvacuations makes the changes visible to calls, logs them and calls the callbacks; the mutex must not be held.
func (v *View) reportEvacuations(changes []pomelo.EvacuationRecord, source string) {
	if len(changes) == 0 {
		return
	}
	v.notifyEvacuations(changes, true)
	v.mu.Lock()
	v.publishEvacuated()
	v.mu.Unlock()
	v.notifyEvacuations(changes, false)
	for _, c := range changes {
		event := "zone_evacuated"
		if c.Ended {
			event = "zone_restored"
		}
		v.log.Info(event, "zone", c.Zone, "source", source, "revision", c.Revision)
	}
	if v.metrics != nil {
		v.metrics.Gauge("view.evacuated_zones", float64(len(v.Evacuated())))
	}
}

// publishEvacuated makes the set visible to calls; the mutex must be held, except in New.
func (v *View) publishEvacuated() {
	evacuated := v.zones.Zones()
	v.evacuated.Store(&evacuated)
}

// notifyEvacuations calls the callbacks with the ends of evacuations, or with the orders.
func (v *View) notifyEvacuations(changes []pomelo.EvacuationRecord, ended bool) {
	for _, c := range changes {
		if c.Ended != ended {
			continue
		}
		for _, f := range v.onEvacuation {
			f(c.Zone, !c.Ended)
		}
	}
}
