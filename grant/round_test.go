package grant

// offer simulates the arrival of one request at an entry node.
func (m *model) offer(e *entryNode) {
	m.offerRequest(e, false)
}

// offerRequest simulates the arrival of a request; returned marks one that was refused before.
func (m *model) offerRequest(e *entryNode, returned bool) {
	now := m.wallTime(e.clock)
	e.pool.SetAccount(e.account)
	e.pool.CountRequest(now)
	if len(e.waiters) == 0 && e.pool.TryTake(now) {
		m.admitted = append(m.admitted, m.now)
		if e.pool.NeedsTokens(now) {
			m.startRound(e)
		}
		return
	}
	e.waiters = append(e.waiters, &waiter{returned: returned, arrivedAt: m.now, expiresAt: m.now + int64(modelMaxWait)*microsPerMilli})
	m.startRound(e)
}

func (m *model) startRound(e *entryNode) {
	if e.requesting {
		return
	}
	e.requesting = true
	e.pausedOnce = false
	e.since = m.wallTime(e.clock)
	m.round(e, m.now+int64(modelMaxWait)*microsPerMilli)
}

// round mirrors Limiter.round of package rates, with events in place of goroutines.
func (m *model) round(e *entryNode, end int64) {
	e.roundID++
	m.serve(e)
	now := m.wallTime(e.clock)
	requests := e.pool.PlanRequests(now, len(e.waiters), e.owners, e.since)
	if m.now >= end {
		m.finish(e)
		return
	}
	if len(requests) == 0 && e.inFlight == 0 {
		m.pauseOnce(e, end)
		return
	}
	e.inFlight += len(requests)
	roundID := e.roundID
	for _, d := range requests {
		m.send(e, d, func() {
			m.serve(e)
			e.inFlight--
			if e.inFlight == 0 && e.requesting {
				m.round(e, end)
			}
		})
	}
	m.schedule(int64(modelSlowAfter)*microsPerMilli, func() {
		if e.requesting && e.roundID == roundID {
			m.round(e, end)
		}
	})
}

func (m *model) pauseOnce(e *entryNode, end int64) {
	w := e.pool.WaitTime(m.wallTime(e.clock))
	if len(e.waiters) == 0 || e.pausedOnce || w > modelMaxPause {
		m.finish(e)
		return
	}
	e.pausedOnce = true
	m.returnPart(e)
	m.schedule(int64(w)*microsPerMilli, func() {
		e.since = m.wallTime(e.clock)
		m.round(e, end)
	})
}

func (m *model) finish(e *entryNode) {
	m.serve(e)
	for _, w := range e.waiters {
		e.pool.CountRefused()
		m.refused = append(m.refused, w.arrivedAt)
		if m.onRefused != nil {
			m.onRefused(e, w)
		}
	}
	e.waiters = nil
	e.requesting = false
	m.returnPart(e)
}

func (m *model) returnPart(e *entryNode) {
	if !e.pool.ReturnPart(m.wallTime(e.clock)) {
		return
	}
	for _, d := range e.pool.PlanReturns(m.wallTime(e.clock), e.owners) {
		m.send(e, d, func() {})
	}
}

func (m *model) serve(e *entryNode) {
	for len(e.waiters) > 0 && e.pool.TryTake(m.wallTime(e.clock)) {
		m.admitted = append(m.admitted, m.now)
		e.waiters = e.waiters[1:]
	}
}

func (m *model) reportUse(e *entryNode) {
	m.schedule(int64(modelReportInterval)*microsPerMilli, func() { m.reportUse(e) })
	for _, d := range e.pool.PlanReports(m.wallTime(e.clock), e.owners) {
		m.send(e, d, func() {})
	}
}
