package chart

import (
	"maps"
	"slices"
)

func (c *Chart) checkDuplicates() error {
	if len(c.lines.duplicates) == 0 {
		return nil
	}
	name := c.lines.duplicates[0]
	return c.fault(c.lines.numbers[name], name+" stands twice", "keep one of them")
}

func (c *Chart) check() error {
	if _, ok := c.states[c.initial]; !ok {
		return c.fault(c.lines.numbers[sectionChart+" "+keyInitial], "the initial state "+quoted(c.initial)+" is unknown", "name a state that has a section")
	}
	if len(c.events) == 0 {
		return c.fault(c.lines.numbers[sectionChart], "the chart has no events", "list them under "+keyEvents)
	}
	for _, s := range c.stateNames() {
		if err := c.checkState(s); err != nil {
			return err
		}
	}
	return c.checkReachable()
}

func (c *Chart) checkState(s string) error {
	for _, event := range slices.Sorted(maps.Keys(c.states[s])) {
		to := c.states[s][event]
		line := c.lines.numbers[s+" "+event]
		if !slices.Contains(c.events, event) {
			return c.fault(line, "the event "+quoted(event)+" is unknown", "list it under "+keyEvents+" or correct its name")
		}
		if _, ok := c.states[to]; !ok && to != ignore {
			return c.fault(line, "the state "+quoted(to)+" is unknown", "add a section for it or correct its name")
		}
	}
	for _, event := range c.events {
		if _, ok := c.states[s][event]; !ok {
			return c.fault(c.lines.numbers[s], "the state "+quoted(s)+" does not say what "+quoted(event)+" does", `name the next state, or "ignore"`)
		}
	}
	return nil
}

func (c *Chart) checkReachable() error {
	seen := map[string]bool{c.initial: true}
	queue := []string{c.initial}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		for _, to := range c.states[s] {
			if to == ignore || seen[to] {
				continue
			}
			seen[to] = true
			queue = append(queue, to)
		}
	}
	for _, s := range c.stateNames() {
		if !seen[s] {
			return c.fault(c.lines.numbers[s], "the state "+quoted(s)+" can't be reached from "+quoted(c.initial), "add an event that leads to it, or remove it")
		}
	}
	return nil
}

func quoted(s string) string {
	return `"` + s + `"`
}
