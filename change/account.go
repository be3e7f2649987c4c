package change

import (
	"context"

	"github.com/pomeloworks/pomelo"
)

func (c *Changer) setAccount(ctx context.Context, o operation, s pomelo.SetAccount) (pomelo.CommandResult, error) {
	out, err := c.update(ctx, o, pomelo.PrefixAccount+s.Name, func(r pomelo.Record) (document, error) {
		d := accountDocument{ClientAccount: pomelo.ClientAccount{Name: s.Name}}
		if err := decode(r, &d); err != nil {
			return nil, err
		}
		if s.Rate != 0 {
			d.Rate = s.Rate
		}
		if s.Burst != 0 {
			d.Burst = s.Burst
		}
		if d.Rate <= 0 || d.Burst < 1 {
			return nil, badCommand("a new client account needs a rate and a burst", "give both, such as: rate 100 burst 200")
		}
		return &d, nil
	})
	return out.result(), err
}
