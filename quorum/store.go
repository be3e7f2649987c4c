package quorum

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/roster"
)

// watch lists the records of all rosters and then watches them by one long poll at a time.
func (c *Coordinator) watch(ctx context.Context) {
	for ctx.Err() == nil {
		since, err := c.list(ctx)
		for err == nil {
			since, err = c.poll(ctx, since)
		}
		if ctx.Err() != nil {
			return
		}
		c.log.Debug("roster_watch_broken", "error", err.Error())
		_ = c.clock.Sleep(ctx, retryPause)
	}
}

func (c *Coordinator) list(ctx context.Context) (pomelo.Revision, error) {
	requestedAt := c.clock.Now()
	l, err := c.store.List(ctx, pomelo.PrefixRoster)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	c.storeRead = true
	c.mu.Unlock()
	c.applyRecords(requestedAt, l.Records)
	return l.Revision, nil
}

func (c *Coordinator) poll(ctx context.Context, since pomelo.Revision) (pomelo.Revision, error) {
	requestedAt := c.clock.Now()
	l, err := c.store.Watch(ctx, pomelo.PrefixRoster, since, c.watchWait)
	if err != nil {
		return 0, err
	}
	c.applyRecords(requestedAt, l.Records)
	return l.Revision, nil
}

func (c *Coordinator) applyRecords(requestedAt pomelo.Millis, records []pomelo.Record) {
	for _, record := range records {
		if record.Deleted {
			continue
		}
		r, err := decode(record)
		if err != nil {
			c.log.Warn("roster_record_unreadable", "key", record.Key, "error", err.Error())
			continue
		}
		c.applyStored(requestedAt, r)
	}
}

func (c *Coordinator) applyStored(requestedAt pomelo.Millis, r pomelo.Roster) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, m := range c.machines {
		if m.Roster().Name != r.Name {
			continue
		}
		previous := m.Roster().Generation
		m.ApplyStored(requestedAt, c.clock.Now(), r)
		c.storeBehind[i] = r.Generation < previous
		if m.Roster().Generation != previous {
			c.expediteHeartbeats()
		}
	}
}

// propose writes the next generation if one is due, and the known one if the store has an older one or only the store can confirm this node.
func (c *Coordinator) propose(ctx context.Context, i int) {
	candidates := c.candidates(i)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	m := c.machines[i]
	if c.proposing[i] || !c.mayProposeFirst(now, m, candidates) {
		return
	}
	next, due := m.Propose(now, candidates)
	if !due && !c.storeBehind[i] && !c.needsStore(now, m) {
		return
	}
	c.proposing[i] = true
	if !due {
		next = m.Roster()
	}
	c.running.Go(func() {
		if err := c.writeGeneration(ctx, rosterName(i), next); err != nil {
			c.log.Debug("roster_not_written", "roster", rosterName(i), "error", err.Error())
			_ = c.clock.Sleep(ctx, retryPause)
		}
		_ = c.clock.Sleep(ctx, c.ownershipTTL/heartbeatsPerTTL)
		c.mu.Lock()
		c.proposing[i] = false
		c.mu.Unlock()
	})
}

// mayProposeFirst delays the first generation until the store has been read and other candidates have had time to join.
func (c *Coordinator) mayProposeFirst(now pomelo.Millis, m *roster.Machine, candidates []pomelo.Member) bool {
	if m.Roster().Generation > 0 {
		return true
	}
	return c.storeRead && (len(candidates) >= c.rosterSize || now >= c.startedAt+foundingDelay)
}

func (c *Coordinator) needsStore(now pomelo.Millis, m *roster.Machine) bool {
	return m.IsMember() && now >= m.ConfirmedUntil()
}

// writeGeneration stores the generation by compare-and-swap on the record's revision, unless the store has that generation or a later one; a lost answer is resolved by the next read.
func (c *Coordinator) writeGeneration(ctx context.Context, name string, next pomelo.Roster) error {
	requestedAt := c.clock.Now()
	key := pomelo.PrefixRoster + name
	record, err := c.store.Get(ctx, key)
	if err != nil && !pomelo.IsKind(err, pomelo.KindNotFound) {
		return err
	}
	var found pomelo.Roster
	if err == nil {
		if found, err = decode(record); err != nil {
			return err
		}
		c.applyStored(requestedAt, found)
	}
	if found.Generation >= next.Generation {
		return nil
	}
	if found.Generation < next.Generation-1 {
		c.log.Warn("roster_record_older_than_known", "roster", name, "stored", found.Generation, "known", next.Generation-1)
	}
	return c.put(ctx, key, next, record.Revision)
}

func (c *Coordinator) put(ctx context.Context, key string, next pomelo.Roster, expected pomelo.Revision) error {
	requestedAt := c.clock.Now()
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode roster record")
	}
	if _, err := c.store.Put(ctx, pomelo.Write{Key: key, Value: value, Expected: expected}); err != nil {
		return err
	}
	c.log.Info("roster_written", "roster", next.Name, "generation", next.Generation, "members", len(next.Members))
	c.applyStored(requestedAt, next)
	return nil
}

func decode(record pomelo.Record) (pomelo.Roster, error) {
	var r pomelo.Roster
	err := json.Unmarshal(record.Value, &r)
	return r, errors.Wrap(err, "decode roster record")
}
