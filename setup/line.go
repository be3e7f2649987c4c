package setup

import "strings"

// byteOrderMark may precede the text of a UTF-8 file.
const byteOrderMark = "\ufeff"

// line is one section, key or malformed line of the file; it is scanned here because the INI library provides no line numbers.
type line struct {
	number       int
	section      string
	key          string
	malformed    bool
	unterminated bool
}

// scanLines returns the section, key and malformed lines of the text with their numbers.
func scanLines(text string) []line {
	var lines []line
	section := ""
	text = strings.TrimPrefix(text, byteOrderMark)
	for i, t := range strings.Split(text, "\n") {
		t = strings.TrimSpace(t)
		if t == "" || t[0] == '#' || t[0] == ';' {
			continue
		}
		if t[0] == '[' {
			section = sectionName(t)
			lines = append(lines, line{number: i + 1, section: section})
			continue
		}
		lines = append(lines, keyLine(i+1, section, t))
	}
	return lines
}

func sectionName(text string) string {
	name, _, _ := strings.Cut(text[1:], "]")
	return strings.TrimSpace(name)
}

func keyLine(number int, section, text string) line {
	key, value, found := strings.Cut(text, "=")
	key = strings.Trim(strings.TrimSpace(key), "\"`")
	return line{
		number:       number,
		section:      section,
		key:          key,
		malformed:    !found || key == "",
		unterminated: spansLines(strings.TrimSpace(value)),
	}
}

// spansLines reports whether the value opens a quote that the INI library would continue on the next lines.
func spansLines(value string) bool {
	for _, q := range []string{`"""`, "`"} {
		if strings.HasPrefix(value, q) && !strings.Contains(value[len(q):], q) {
			return true
		}
	}
	return false
}

// lineOf returns the number of the last line of a key, which is the effective one, or 0.
func lineOf(lines []line, section, key string) int {
	n := 0
	for _, l := range lines {
		if l.section == section && l.key == key {
			n = l.number
		}
	}
	return n
}
