package query

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/pomeloworks/pomelo"
)

const (
	maxImportance    = 9
	maxTimeoutMillis = 3_600_000
	maxNameBytes     = 200
	maxWindow        = 6 * time.Hour
)

// check refuses values out of range, and copies the options of SetAccount to its fields.
func check(c *pomelo.Command) error {
	switch {
	case c.IssueKey != nil:
		return checkName("client account", c.IssueKey.Account)
	case c.WithdrawKey != nil:
		return checkName("key", c.WithdrawKey.ID)
	case c.SetAccount != nil:
		return checkAccount(c.SetAccount)
	case c.SetRoute != nil:
		return checkRoute(*c.SetRoute)
	case c.RemoveRoute != nil:
		return checkRouteName(c.RemoveRoute.Name)
	case c.SetObjective != nil:
		return checkObjective(*c.SetObjective)
	case c.StopVM != nil:
		return checkStop(*c.StopVM)
	case c.CancelStop != nil:
		return checkName("VM", c.CancelStop.VM)
	case c.LostVM != nil:
		return checkName("VM", c.LostVM.VM)
	}
	return checkShow(*c.Show)
}

func checkAccount(s *pomelo.SetAccount) error {
	if err := checkName("client account", s.Name); err != nil {
		return err
	}
	var seen []string
	for _, o := range s.Options {
		n, err := parseNumber(o.Name, o.Value)
		if err != nil {
			return err
		}
		if err := requireFirst(&seen, o.Name); err != nil {
			return err
		}
		if o.Name == "rate" {
			s.Rate = n
			err = require(n > 0, o.Name, o.Value, "give more than 0 requests a second")
		} else {
			s.Burst = n
			err = require(n >= 1, o.Name, o.Value, "give 1 request or more")
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func checkRoute(s pomelo.SetRoute) error {
	if err := checkRouteName(s.Name); err != nil {
		return err
	}
	var seen []string
	for _, o := range s.Options {
		if err := requireFirst(&seen, o.Name); err != nil {
			return err
		}
		if err := checkRouteOption(o); err != nil {
			return err
		}
	}
	return nil
}

func checkRouteOption(o pomelo.RouteOption) error {
	switch o.Name {
	case "service":
		return checkName("service", o.Value)
	case "non_idempotent", "open":
		return require(o.Value == "on" || o.Value == "off", o.Name, o.Value, "give on or off")
	}
	n, err := parseNumber(o.Name, o.Value)
	if err != nil {
		return err
	}
	switch o.Name {
	case "importance":
		return require(isInteger(o.Value) && n >= 0 && n <= maxImportance, o.Name, o.Value, "give a whole number from 0 to 9")
	case "timeout_ms":
		return require(isInteger(o.Value) && n >= 1 && n <= maxTimeoutMillis, o.Name, o.Value, "give whole milliseconds from 1 to 3600000")
	}
	return require(n >= 0, o.Name, o.Value, "give 0 or more")
}

func checkObjective(s pomelo.SetObjective) error {
	if err := checkName("service", s.Service); err != nil {
		return err
	}
	var seen []string
	for _, o := range s.Options {
		if err := requireFirst(&seen, o.Name); err != nil {
			return err
		}
		n, err := parseNumber(o.Name, o.Value)
		if err != nil {
			return err
		}
		if o.Name == "latency_ms" {
			err = require(isInteger(o.Value) && n >= 1 && n <= maxTimeoutMillis, o.Name, o.Value, "give whole milliseconds from 1 to 3600000")
		} else {
			err = require(n > 0 && n < 100, o.Name, o.Value, "give a percentage between 0 and 100, such as 99.9")
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func checkStop(s pomelo.StopVM) error {
	if err := checkName("VM", s.VM); err != nil {
		return err
	}
	_, err := ParseInstant(s.At, 0)
	return err
}

func checkShow(s pomelo.Show) error {
	if s.Last == "" {
		return nil
	}
	d, err := time.ParseDuration(s.Last)
	return require(err == nil && d > 0 && d <= maxWindow, "last", s.Last, "give a time up to 6h, such as 60s, 5m or 1h")
}

// ParseInstant returns the time of a stop in milliseconds since the Unix epoch; text is RFC 3339, "now", or a delay from now such as "+30s".
func ParseInstant(text string, now pomelo.Millis) (pomelo.Millis, error) {
	if text == "now" {
		return now, nil
	}
	if delay, ok := strings.CutPrefix(text, "+"); ok {
		d, err := time.ParseDuration(delay)
		if err != nil {
			return 0, badCommand(text+" is not a delay", "give a delay such as +30s or +5m")
		}
		return now + pomelo.MillisOf(d), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, badCommand(text+" is not a time", "give RFC 3339 such as 2026-01-31T18:00:00Z, a delay such as +30s, or now")
	}
	return pomelo.Millis(t.UnixMilli()), nil
}

func checkRouteName(name string) error {
	method, path, found := strings.Cut(name, " ")
	if found && method != "" && method == strings.ToUpper(method) && strings.HasPrefix(path, "/") && !strings.ContainsAny(path, " ?#") && len(name) <= maxNameBytes {
		return nil
	}
	return badCommand(fmt.Sprintf("%q is not a route's name", name), `give "METHOD /path", such as "POST /orders"`)
}

func checkName(what, name string) error {
	if name != "" && len(name) <= maxNameBytes && !strings.ContainsFunc(name, isForbiddenInName) {
		return nil
	}
	return badCommand(what+" has no usable name", "give a name of 1 to 200 bytes without control characters, spaces or slashes")
}

func isForbiddenInName(r rune) bool {
	return r == '/' || r == unicode.ReplacementChar || unicode.IsSpace(r) || !unicode.IsPrint(r)
}

func parseNumber(name, value string) (float64, error) {
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsInf(n, 0) || math.IsNaN(n) {
		return 0, badCommand(name+" "+value+" is not a number in range", "give a number such as 100 or 0.5")
	}
	return n, nil
}

func isInteger(value string) bool {
	_, err := strconv.ParseInt(value, 10, 64)
	return err == nil
}

func requireFirst(seen *[]string, name string) error {
	for _, s := range *seen {
		if s == name {
			return badCommand(name+" is given twice", "give it once")
		}
	}
	*seen = append(*seen, name)
	return nil
}

func require(ok bool, name, value, remedy string) error {
	if ok {
		return nil
	}
	return badCommand(name+" "+value+" is not valid", remedy)
}
