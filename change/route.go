package change

import (
	"context"
	"strconv"

	"github.com/pomeloworks/pomelo"
)

// PutRoute creates a route or replaces all of its options.
func (c *Changer) PutRoute(ctx context.Context, r pomelo.Route) error {
	o := operation{Change: pomelo.Change{ID: newID()}, deadline: c.clock.Now() + c.timeout}
	_, err := c.update(ctx, o, pomelo.PrefixRoute+r.Name, func(current pomelo.Record) (document, error) {
		var d routeDocument
		if err := decode(current, &d); err != nil {
			return nil, err
		}
		d.Route = r
		return &d, nil
	})
	return err
}

func (c *Changer) setRoute(ctx context.Context, o operation, s pomelo.SetRoute) (pomelo.CommandResult, error) {
	out, err := c.update(ctx, o, pomelo.PrefixRoute+s.Name, func(r pomelo.Record) (document, error) {
		var d routeDocument
		if err := decode(r, &d); err != nil {
			return nil, err
		}
		if d.Removed {
			d.Route = pomelo.Route{}
		}
		d.Name = s.Name
		for _, p := range s.Options {
			if err := applyRouteOption(&d.Route, p); err != nil {
				return nil, err
			}
		}
		if d.Service == "" {
			return nil, badCommand("the route names no service", "add: service NAME")
		}
		return &d, nil
	})
	return out.result(), err
}

// removeRoute writes a tombstone instead of deleting the record: the tombstone keeps the command history, and a watch can't miss it.
func (c *Changer) removeRoute(ctx context.Context, o operation, s pomelo.RemoveRoute) (pomelo.CommandResult, error) {
	out, err := c.update(ctx, o, pomelo.PrefixRoute+s.Name, func(r pomelo.Record) (document, error) {
		var d routeDocument
		if err := decode(r, &d); err != nil {
			return nil, err
		}
		if r.Revision == 0 || d.Removed {
			return nil, pomelo.NewFault(pomelo.KindNotFound, "there is no route "+s.Name, "see the names with: show routes")
		}
		d.Route = pomelo.Route{Name: s.Name, Removed: true}
		return &d, nil
	})
	return out.result(), err
}

func applyRouteOption(r *pomelo.Route, o pomelo.RouteOption) error {
	var err error
	switch o.Name {
	case "service":
		r.Service = o.Value
	case "importance":
		r.Importance, err = strconv.Atoi(o.Value)
	case "worth":
		r.Worth, err = strconv.ParseFloat(o.Value, 64)
	case "non_idempotent":
		r.NonIdempotent = o.Value == "on"
	case "open":
		r.Open = o.Value == "on"
	case "timeout_ms":
		var n int64
		n, err = strconv.ParseInt(o.Value, 10, 64)
		r.Timeout = pomelo.Millis(n)
	}
	if err != nil {
		return badCommand(o.Name+" "+o.Value+" is not a number", "give a number")
	}
	return nil
}
