package change

import (
	"context"
	"strconv"

	"github.com/pomeloworks/pomelo"
)

const percent = 100

func (c *Changer) setObjective(ctx context.Context, o operation, s pomelo.SetObjective) (pomelo.CommandResult, error) {
	out, err := c.update(ctx, o, pomelo.PrefixObjective+s.Service, func(r pomelo.Record) (document, error) {
		var d objectiveDocument
		if err := decode(r, &d); err != nil {
			return nil, err
		}
		d.Service = s.Service
		for _, p := range s.Options {
			if err := applyObjectiveOption(&d.Objective, p); err != nil {
				return nil, err
			}
		}
		if d.CompleteShare == 0 {
			return nil, badCommand("a new objective needs the share of whole answers", "add, such as: whole 99.9")
		}
		if (d.Latency == 0) != (d.LatencyShare == 0) {
			return nil, badCommand("a latency and its share go together", "give both, such as: latency_ms 300 share 99")
		}
		return &d, nil
	})
	return out.result(), err
}

func applyObjectiveOption(objective *pomelo.Objective, o pomelo.ObjectiveOption) error {
	n, err := strconv.ParseFloat(o.Value, 64)
	if err != nil {
		return badCommand(o.Name+" "+o.Value+" is not a number", "give a number")
	}
	switch o.Name {
	case "whole":
		objective.CompleteShare = n / percent
	case "share":
		objective.LatencyShare = n / percent
	case "latency_ms":
		objective.Latency = pomelo.Millis(n)
	}
	return nil
}
