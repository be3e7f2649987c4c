package setup

import (
	"strconv"
	"strings"

	"github.com/pomeloworks/pomelo"
)

// assign stores a checked value in the settings field of the descriptor.
func assign(s *pomelo.Settings, d descriptor, value string) {
	switch f := d.field(s).(type) {
	case *string:
		*f = value
	case *[]string:
		*f = splitList(value)
	case *int:
		*f, _ = strconv.Atoi(value)
	case *pomelo.Millis:
		n, _ := strconv.ParseInt(value, 10, 64)
		*f = pomelo.Millis(n)
	}
}

// splitList returns the non-empty items of a comma-separated value in lower case.
func splitList(value string) []string {
	var items []string
	for _, v := range strings.Split(value, ",") {
		if v = strings.TrimSpace(v); v != "" {
			items = append(items, strings.ToLower(v))
		}
	}
	return items
}
