package census

import (
	"slices"
	"strings"

	"github.com/pomeloworks/pomelo"
)

// Current returns the members whose records are in the store, or were there in an earlier epoch and are awaited, ordered by VM; the list never changes and must not be modified.
func (c *Census) Current() []pomelo.Member {
	if c.current == nil {
		c.current = make([]pomelo.Member, 0, len(c.entries))
		for _, e := range c.entries {
			c.current = append(c.current, e.member)
		}
		slices.SortFunc(c.current, byVM)
	}
	c.isShared = true
	return c.current
}

// Usable returns the current members and the expired ones that are still retained, ordered by VM; the list never changes and must not be modified.
func (c *Census) Usable() []pomelo.Member {
	current := c.Current()
	if len(c.expired) == 0 {
		return current
	}
	out := slices.Grow(slices.Clone(current), len(c.expired))
	for _, e := range c.expired {
		out = append(out, e.member)
	}
	slices.SortFunc(out, byVM)
	return out
}

// replaceCurrent inserts the member into the ordered list, or replaces its record there.
func (c *Census) replaceCurrent(m pomelo.Member) {
	if c.current == nil {
		return
	}
	c.unshare()
	i, known := c.find(m.VM)
	if known {
		c.current[i] = m
		return
	}
	c.current = slices.Insert(c.current, i, m)
}

func (c *Census) removeCurrent(vm string) {
	i, known := c.find(vm)
	if !known {
		return
	}
	c.unshare()
	c.current = slices.Delete(c.current, i, i+1)
}

func (c *Census) find(vm string) (int, bool) {
	return slices.BinarySearchFunc(c.current, vm, func(m pomelo.Member, vm string) int { return strings.Compare(m.VM, vm) })
}

// unshare copies the ordered list if it has been returned to a caller.
func (c *Census) unshare() {
	if c.isShared {
		c.current = slices.Clone(c.current)
		c.isShared = false
	}
}

func byVM(a, b pomelo.Member) int {
	return strings.Compare(a.VM, b.VM)
}
