package show

import (
	"slices"
	"strconv"
	"time"

	"github.com/pomeloworks/pomelo"
)

const (
	// shownIDDigits is the length of the prefix of a key's id that is shown; withdraw accepts any unique prefix.
	shownIDDigits = 16
	percent       = 100
)

func (b *TableBuilder) accounts() *pomelo.Table {
	t := &pomelo.Table{Columns: []string{"account", "rate", "burst"}}
	for _, c := range b.catalog.Accounts() {
		t.Rows = append(t.Rows, []string{c.Name, formatNumber(c.Rate), formatNumber(c.Burst)})
	}
	return t
}

func (b *TableBuilder) keys() *pomelo.Table {
	t := &pomelo.Table{Columns: []string{"key", "account", "state"}}
	for _, k := range b.catalog.Keys() {
		state := "valid"
		if k.Withdrawn {
			state = "withdrawn"
		}
		t.Rows = append(t.Rows, []string{k.ID[:min(len(k.ID), shownIDDigits)], k.Account, state})
	}
	return t
}

func (b *TableBuilder) routes() *pomelo.Table {
	t := &pomelo.Table{Columns: []string{"route", "service", "importance", "worth", "non_idempotent", "open", "timeout_ms"}}
	for _, r := range b.catalog.Routes() {
		t.Rows = append(t.Rows, []string{
			r.Name, r.Service, strconv.Itoa(r.Importance), formatNumber(r.Worth), onOff(r.NonIdempotent), onOff(r.Open),
			strconv.FormatInt(int64(r.Timeout), 10),
		})
	}
	return t
}

func (b *TableBuilder) stops() *pomelo.Table {
	t := &pomelo.Table{Columns: []string{"vm", "at", "state"}}
	for _, s := range b.catalog.Stops() {
		state := "planned"
		if s.Withdrawn {
			state = "cancelled"
		}
		t.Rows = append(t.Rows, []string{s.VM, formatTime(s.At), state})
	}
	return t
}

func (b *TableBuilder) objectives() *pomelo.Table {
	t := &pomelo.Table{Columns: []string{"service", "whole", "latency_ms", "share"}}
	for _, o := range b.catalog.Objectives() {
		t.Rows = append(t.Rows, []string{
			o.Service, formatNumber(o.CompleteShare * percent), strconv.FormatInt(int64(o.Latency), 10), formatNumber(o.LatencyShare * percent),
		})
	}
	return t
}

func (b *TableBuilder) nodes() *pomelo.Table {
	t := &pomelo.Table{Columns: []string{"vm", "availability_zone", "service", "address", "draining"}}
	for _, m := range b.members.All() {
		t.Rows = append(t.Rows, []string{m.VM, m.AvailabilityZone, m.Service, m.Address, yesNo(m.Draining)})
	}
	slices.SortFunc(t.Rows, slices.Compare[[]string])
	return t
}

// formatNumber rounds to 10 digits, which hides the binary rounding of percentages that are stored as shares.
func formatNumber(v float64) string {
	return strconv.FormatFloat(v, 'g', 10, 64)
}

func formatTime(m pomelo.Millis) string {
	return time.UnixMilli(int64(m)).UTC().Format(time.RFC3339)
}

func onOff(b bool) string {
	if b {
		return "on"
	}
	return "off"
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
