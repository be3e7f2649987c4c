package show

import (
	"slices"
	"strconv"
	"time"

	"github.com/pomeloworks/pomelo"
)

const (
	// idDigits of a key's id are shown; withdraw takes any unique beginning.
	idDigits = 16
	percent  = 100
)

func (a *Answerer) accounts() *pomelo.Table {
	t := &pomelo.Table{Columns: []string{"account", "rate", "burst"}}
	for _, c := range a.catalog.Accounts() {
		t.Rows = append(t.Rows, []string{c.Name, decimal(c.Rate), decimal(c.Burst)})
	}
	return t
}

func (a *Answerer) keys() *pomelo.Table {
	t := &pomelo.Table{Columns: []string{"key", "account", "state"}}
	for _, k := range a.catalog.Keys() {
		state := "valid"
		if k.Withdrawn {
			state = "withdrawn"
		}
		t.Rows = append(t.Rows, []string{k.ID[:min(len(k.ID), idDigits)], k.Account, state})
	}
	return t
}

func (a *Answerer) routes() *pomelo.Table {
	t := &pomelo.Table{Columns: []string{"route", "service", "importance", "worth", "non_idempotent", "open", "timeout_ms"}}
	for _, r := range a.catalog.Routes() {
		t.Rows = append(t.Rows, []string{
			r.Name, r.Service, strconv.Itoa(r.Importance), decimal(r.Worth), onOff(r.NonIdempotent), onOff(r.Open),
			strconv.FormatInt(int64(r.Timeout), 10),
		})
	}
	return t
}

func (a *Answerer) stops() *pomelo.Table {
	t := &pomelo.Table{Columns: []string{"vm", "at", "state"}}
	for _, s := range a.catalog.Stops() {
		state := "planned"
		if s.Withdrawn {
			state = "cancelled"
		}
		t.Rows = append(t.Rows, []string{s.VM, instant(s.At), state})
	}
	return t
}

func (a *Answerer) objectives() *pomelo.Table {
	t := &pomelo.Table{Columns: []string{"service", "whole", "latency_ms", "share"}}
	for _, o := range a.catalog.Objectives() {
		t.Rows = append(t.Rows, []string{
			o.Service, decimal(o.CompleteShare * percent), strconv.FormatInt(int64(o.Latency), 10), decimal(o.LatencyShare * percent),
		})
	}
	return t
}

func (a *Answerer) nodes() *pomelo.Table {
	t := &pomelo.Table{Columns: []string{"vm", "availability_zone", "service", "address", "draining"}}
	for _, m := range a.members.All() {
		t.Rows = append(t.Rows, []string{m.VM, m.AvailabilityZone, m.Service, m.Address, yesNo(m.Draining)})
	}
	slices.SortFunc(t.Rows, slices.Compare[[]string])
	return t
}

// decimal rounds what percentages lose by their storage as shares.
func decimal(v float64) string {
	return strconv.FormatFloat(v, 'g', 10, 64)
}

func instant(m pomelo.Millis) string {
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
