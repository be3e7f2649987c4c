package mesh

import "github.com/pomeloworks/pomelo"

// zoneObserver receives changes of the evacuation of a worker's own zone.
type zoneObserver interface {
	ZoneEvacuated()
	ZoneRestored()
}

// appliesEvacuations reports whether the platform states a time within which evacuations take effect.
func (n *Node) appliesEvacuations() bool {
	return n.settings.EvacuateWithin > 0
}

// evacuationObserver passes changes of the node's own zone to the worker.
func (n *Node) evacuationObserver(w zoneObserver) func(zone string, evacuated bool) {
	return func(zone string, evacuated bool) {
		if zone != n.settings.AvailabilityZone {
			return
		}
		if evacuated {
			w.ZoneEvacuated()
			return
		}
		w.ZoneRestored()
	}
}

// knowsEvacuations reports whether the evacuations have been listed, or don't apply.
func (n *Node) knowsEvacuations() bool {
	if !n.appliesEvacuations() {
		return true
	}
	select {
	case <-n.components.View.Listed():
		return true
	default:
		return false
	}
}

// Evacuations returns the evacuated zones as this node knows them.
func (n *Node) Evacuations() pomelo.Evacuations {
	return n.components.View
}
