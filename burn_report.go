package pomelo

// Windows of the burn report in milliseconds.
const (
	BurnShort  = Millis(5 * 60_000)
	BurnMedium = Millis(60 * 60_000)
	BurnLong   = Millis(6 * 60 * 60_000)
)

// BurnState sums a burn report up.
type BurnState string

// The states of a service's budget: BurnFast spends two hundredths of a month's budget within an hour, BurnSlow a twentieth within six.
const (
	BurnOK     BurnState = "ok"
	BurnFast   BurnState = "fast_burn"
	BurnSlow   BurnState = "slow_burn"
	BurnNoData BurnState = "no_calls"
)

// BurnReport is how fast each service with an objective spends its error budget; At is in milliseconds since the Unix epoch.
type BurnReport struct {
	At       Millis        `json:"at_ms"`
	Services []BurnService `json:"services"`
	// Unresponsive lists the nodes whose counts are missing.
	Unresponsive []string `json:"silent,omitempty"`
}

// BurnService is one service's part; Latency is of the whole answers only.
type BurnService struct {
	Objective    Objective    `json:"objective"`
	State        BurnState    `json:"state"`
	Complete     BurnGoal     `json:"whole"`
	Latency      BurnGoal     `json:"latency"`
	WorstAccount *BurnAccount `json:"worst_account,omitempty"`
}

// BurnGoal is one target and how it fares in each window; BudgetLeft is the unspent share of the longest window's budget, negative when overspent.
type BurnGoal struct {
	Target     float64      `json:"target"`
	Windows    []BurnWindow `json:"windows"`
	BudgetLeft float64      `json:"budget_left"`
}

// BurnWindow counts a window in milliseconds; Rate is 1 when the budget is spent just within the objective's period.
type BurnWindow struct {
	Window Millis  `json:"window_ms"`
	Calls  int64   `json:"calls"`
	Bad    int64   `json:"bad"`
	Rate   float64 `json:"burn_rate"`
}

// BurnAccount is the client account that fares worst, over Window in milliseconds, and why.
type BurnAccount struct {
	Account string       `json:"account"`
	Window  Millis       `json:"window_ms"`
	Calls   int64        `json:"calls"`
	Bad     int64        `json:"bad"`
	Reasons []BurnReason `json:"reasons"`
}

// BurnReason is an outcome that counted against the objective, and how often.
type BurnReason struct {
	Outcome string `json:"outcome"`
	Count   int64  `json:"count"`
}
