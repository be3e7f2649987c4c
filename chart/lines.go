package chart

import (
	"strconv"
	"strings"
)

// lines maps a section's name, and a key as "section key", to its line number, which the INI library does not retain.
type lines struct {
	numbers    map[string]int
	duplicates []string
}

func parseLines(text []byte) lines {
	l := lines{numbers: map[string]int{}}
	section := ""
	for i, s := range strings.Split(string(text), "\n") {
		s = strings.TrimSpace(s)
		if s == "" || s[0] == ';' || s[0] == '#' {
			continue
		}
		if s[0] == '[' {
			section = strings.Trim(s, "[] ")
			l.add(section, i+1)
			continue
		}
		key, _, _ := strings.Cut(s, "=")
		l.add(section+" "+strings.TrimSpace(key), i+1)
	}
	return l
}

func (l *lines) add(name string, line int) {
	if _, ok := l.numbers[name]; ok {
		l.duplicates = append(l.duplicates, name)
	}
	l.numbers[name] = line
}

func (l lines) position(file string, line int) string {
	return file + ":" + strconv.Itoa(max(line, 1)) + ": "
}
