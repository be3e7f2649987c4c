package setup

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pomeloworks/pomelo"
	"gopkg.in/ini.v1"
)

// inspection holds the state and the results of checking one settings file.
type inspection struct {
	file     string
	read     func(path string) ([]byte, error)
	lines    []line
	settings pomelo.Settings
	faults   []pomelo.SettingsFault
}

func (x *inspection) add(section, key string, number int, p problem) {
	x.faults = append(x.faults, pomelo.SettingsFault{
		File: x.file, Section: section, Key: key, Line: number, Message: p.message, Remedy: p.remedy,
	})
}

func (x *inspection) addKey(section, key string, p problem) {
	x.add(section, key, lineOf(x.lines, section, key), p)
}

func (x *inspection) run() {
	raw, err := x.read(x.file)
	if err != nil {
		x.add("", "", 0, problem{fmt.Sprintf("the file can't be read: %v", err), "check the path and the file's permissions"})
		return
	}
	x.lines = scanLines(string(raw))
	x.checkLines()
	file, err := ini.LoadSources(loadOptions(), raw)
	if err != nil {
		x.add("", "", 0, problem{fmt.Sprintf("the file is not INI: %v", err), "write [section] lines and key = value lines"})
		return
	}
	x.checkNames(file)
	x.readValues(file)
	x.checkListeners()
	x.checkCertificate()
	sort.SliceStable(x.faults, func(i, j int) bool { return x.faults[i].Line < x.faults[j].Line })
}

// loadOptions makes the INI library read one line per key, so that the line numbers from scanLines are correct.
func loadOptions() ini.LoadOptions {
	return ini.LoadOptions{
		IgnoreContinuation:      true,
		SkipUnrecognizableLines: true,
		KeyValueDelimiters:      "=",
	}
}

func (x *inspection) checkLines() {
	firstLine := map[string]int{}
	for _, l := range x.lines {
		if l.malformed {
			x.add(l.section, "", l.number, problem{"the line is not key = value", "write key = value, or # before a comment"})
			continue
		}
		if l.unterminated {
			x.add(l.section, l.key, l.number, problem{"the quoted value has no end on its line", "write the value on one line"})
		}
		if l.key == "" {
			continue
		}
		name := l.section + "." + l.key
		if firstLine[name] > 0 {
			x.add(l.section, l.key, l.number, problem{
				fmt.Sprintf("the key is a duplicate of line %d", firstLine[name]), "keep one of the two lines",
			})
			continue
		}
		firstLine[name] = l.number
	}
}

func (x *inspection) checkNames(file *ini.File) {
	for _, s := range file.Sections() {
		if s.Name() == ini.DefaultSection {
			x.checkDefaultSection(s)
			continue
		}
		keys := keyNames(s.Name())
		if keys == nil {
			x.addKey(s.Name(), "", unknownName("section", s.Name(), sectionNames()))
			continue
		}
		for _, k := range s.Keys() {
			if !contains(keys, k.Name()) {
				x.addKey(s.Name(), k.Name(), unknownName("key", k.Name(), keys))
			}
		}
	}
}

// checkDefaultSection reports keys that precede the first section.
func (x *inspection) checkDefaultSection(s *ini.Section) {
	for _, k := range s.Keys() {
		x.addKey("", k.Name(), problem{"the key stands in no section", "put it below its [section] line"})
	}
}

func unknownName(what, name string, valid []string) problem {
	return problem{
		fmt.Sprintf("there is no %s %q", what, name),
		fmt.Sprintf("did you mean %q? valid: %s", nearest(name, valid), strings.Join(valid, ", ")),
	}
}

func contains(words []string, word string) bool {
	for _, w := range words {
		if w == word {
			return true
		}
	}
	return false
}

func (x *inspection) readValues(file *ini.File) {
	for _, d := range descriptors {
		x.readValue(d, file.Section(d.section))
	}
}

func (x *inspection) readValue(d descriptor, s *ini.Section) {
	value := d.defaultValue
	if s.HasKey(d.key) {
		value = s.Key(d.key).Value()
	}
	if d.required && value == "" {
		x.addKey(d.section, d.key, problem{"the required key is missing or empty", "set " + d.key + " in [" + d.section + "]"})
		return
	}
	if p := d.check(d, value); p != nil {
		x.addKey(d.section, d.key, *p)
		return
	}
	assign(&x.settings, d, value)
}
