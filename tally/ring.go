package tally

import "github.com/pomeloworks/pomelo"

// slotCount is one more than the slots of a full window, for the slot that is being filled.
const slotCount = 31

// slotWidths are the slot widths of the tiers in milliseconds: the tiers cover 5 minutes, 1 hour and 6 hours in 30 slots each.
var slotWidths = [...]pomelo.Millis{10_000, 120_000, 720_000}

// ring counts calls in slots of one width; advancing it clears the expired slots.
type ring struct {
	newest int64
	slots  [slotCount]uint32
}

// series counts the calls of one key in all tiers.
type series struct {
	rings [len(slotWidths)]ring
}

func (s *series) add(now pomelo.Millis) {
	for i := range s.rings {
		r := &s.rings[i]
		r.advance(int64(now / slotWidths[i]))
		r.slots[r.newest%slotCount]++
	}
}

// sum returns the count of the window that ends now, from the finest tier that covers it.
func (s *series) sum(now, window pomelo.Millis) int64 {
	t := 0
	for t < len(slotWidths)-1 && slotWidths[t]*(slotCount-1) < window {
		t++
	}
	r := &s.rings[t]
	r.advance(int64(now / slotWidths[t]))
	n := min(int64((window+slotWidths[t]-1)/slotWidths[t]), slotCount-1)
	total := int64(0)
	for i := r.newest - n + 1; i <= r.newest; i++ {
		if i >= 0 {
			total += int64(r.slots[i%slotCount])
		}
	}
	return total
}

// advance never moves backwards: a call with an earlier time counts in the newest slot.
func (r *ring) advance(index int64) {
	if index <= r.newest {
		return
	}
	if index-r.newest >= slotCount {
		r.slots = [slotCount]uint32{}
		r.newest = index
		return
	}
	for r.newest < index {
		r.newest++
		r.slots[r.newest%slotCount] = 0
	}
}
