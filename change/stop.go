package change

import (
	"context"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/query"
)

// maxClockSkew is the longest time, in milliseconds, by which the time of a stop may lie in the past, since operators' clocks differ.
const maxClockSkew = pomelo.Millis(60_000)

func (c *Changer) planStop(ctx context.Context, o operation, s pomelo.StopVM) (pomelo.CommandResult, error) {
	now := c.clock.Now()
	at, err := query.ParseInstant(s.At, now)
	if err != nil {
		return pomelo.CommandResult{}, err
	}
	out, err := c.update(ctx, o, pomelo.PrefixStop+s.VM, func(r pomelo.Record) (document, error) {
		if !o.Repeat && at < now-maxClockSkew {
			return nil, badCommand(s.At+" has passed", "give a later time, or now")
		}
		var d stopDocument
		if err := decode(r, &d); err != nil {
			return nil, err
		}
		d.Stop = pomelo.Stop{VM: s.VM, At: at}
		return &d, nil
	})
	return out.result(), err
}

func (c *Changer) cancelStop(ctx context.Context, o operation, s pomelo.CancelStop) (pomelo.CommandResult, error) {
	out, err := c.update(ctx, o, pomelo.PrefixStop+s.VM, func(r pomelo.Record) (document, error) {
		var d stopDocument
		if err := decode(r, &d); err != nil {
			return nil, err
		}
		if r.Revision == 0 || d.Withdrawn {
			return nil, pomelo.NewFault(pomelo.KindNotFound, "no stop of "+s.VM+" is planned", "see the stops with: show stops")
		}
		d.Withdrawn = true
		return &d, nil
	})
	return out.result(), err
}
