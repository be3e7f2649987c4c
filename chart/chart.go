package chart

import (
	"maps"
	"slices"

	"github.com/pomeloworks/pomelo"
	"github.com/qmuntal/stateless"
	"gopkg.in/ini.v1"
)

// Keywords of the file format.
const (
	sectionChart = "chart"
	keyInitial   = "initial"
	keyEvents    = "events"
	ignore       = "ignore"
)

// Chart is a validated state chart.
type Chart struct {
	file    string
	initial string
	events  []string
	states  map[string]map[string]string
	lines   lines
}

// Load parses and validates a chart; its error is a fault of KindBadSettings that names the file, the line and the remedy.
func Load(file string, text []byte) (*Chart, error) {
	c := &Chart{file: file, states: map[string]map[string]string{}, lines: parseLines(text)}
	if err := c.checkDuplicates(); err != nil {
		return nil, err
	}
	f, err := ini.Load(text)
	if err != nil {
		return nil, c.fault(1, "the file can't be read: "+err.Error(), "write it as INI")
	}
	c.parse(f)
	return c, c.check()
}

// MustLoad loads an embedded chart and panics if it is invalid, so that a program with an invalid chart does not start.
func MustLoad(file string, text []byte) *Chart {
	c, err := Load(file, text)
	if err != nil {
		panic(err)
	}
	return c
}

// NewMachine returns a state machine in the initial state; changed, if not nil, is called at each change of state.
func (c *Chart) NewMachine(changed func(from, to string)) *stateless.StateMachine {
	m := stateless.NewStateMachine(c.initial)
	for s, next := range c.states {
		configure(m.Configure(s), s, next)
	}
	if changed != nil {
		m.OnTransitioned(transitionFunc(changed))
	}
	return m
}

func (c *Chart) parse(f *ini.File) {
	head := f.Section(sectionChart)
	c.initial = head.Key(keyInitial).String()
	c.events = head.Key(keyEvents).Strings(",")
	for _, s := range f.Sections() {
		if s.Name() == sectionChart || s.Name() == ini.DefaultSection {
			continue
		}
		c.states[s.Name()] = s.KeysHash()
	}
}

func configure(s *stateless.StateConfiguration, name string, next map[string]string) {
	for event, to := range next {
		switch to {
		case ignore:
			s.Ignore(event)
		case name:
			s.PermitReentry(event)
		default:
			s.Permit(event, to)
		}
	}
}

func (c *Chart) fault(line int, message, remedy string) error {
	return pomelo.NewFault(pomelo.KindBadSettings, c.lines.position(c.file, line)+message, remedy)
}

func (c *Chart) stateNames() []string {
	return slices.Sorted(maps.Keys(c.states))
}
