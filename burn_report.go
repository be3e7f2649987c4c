package pomelo

// Lookback windows of the burn report, in milliseconds.
const (
	BurnShort  = Millis(5 * 60_000)
	BurnMedium = Millis(60 * 60_000)
	BurnLong   = Millis(6 * 60 * 60_000)
)

// BurnState classifies how fast a service spends its error budget.
type BurnState string

// Burn states. BurnFast spends 2% of a month's budget within an hour, BurnSlow 5% within six hours.
const (
	BurnOK     BurnState = "ok"
	BurnFast   BurnState = "fast_burn"
	BurnSlow   BurnState = "slow_burn"
	BurnNoData BurnState = "no_calls"
)

// BurnReport states how fast each service with an objective spends its error budget; At is in milliseconds since the Unix epoch.
type BurnReport struct {
	At       Millis        `json:"at_ms"`
	Services []BurnService `json:"services"`
	// Unresponsive lists the nodes whose counts are missing.
	Unresponsive []string `json:"silent,omitempty"`
}

// BurnService is the burn report of one service; Latency covers complete answers only.
type BurnService struct {
	Objective    Objective    `json:"objective"`
	State        BurnState    `json:"state"`
	Complete     BurnGoal     `json:"whole"`
	Latency      BurnGoal     `json:"latency"`
	WorstAccount *BurnAccount `json:"worst_account,omitempty"`
}

// BurnGoal is one target of an objective and its burn rate in each window.
type BurnGoal struct {
	Target  float64      `json:"target"`
	Windows []BurnWindow `json:"windows"`
	// BudgetLeft is the unspent share of the longest window's error budget, negative when overspent.
	BudgetLeft float64 `json:"budget_left"`
}

// BurnWindow counts the calls of one window, in milliseconds.
type BurnWindow struct {
	Window Millis `json:"window_ms"`
	Calls  int64  `json:"calls"`
	Bad    int64  `json:"bad"`
	// Rate is the burn rate: 1 spends the error budget exactly over the objective's period.
	Rate float64 `json:"burn_rate"`
}

// BurnAccount is the client account with the worst results in a window, in milliseconds, with the reasons.
type BurnAccount struct {
	Account string       `json:"account"`
	Window  Millis       `json:"window_ms"`
	Calls   int64        `json:"calls"`
	Bad     int64        `json:"bad"`
	Reasons []BurnReason `json:"reasons"`
}

// BurnReason is an outcome that counts against the objective, and how often it occurred.
type BurnReason struct {
	Outcome string `json:"outcome"`
	Count   int64  `json:"count"`
}
