package pomelo

// Command is one parsed command of the operators' language; exactly one field is set.
type Command struct {
	IssueKey     *IssueKey     `parser:"  @@" json:"issue_key,omitempty"`
	WithdrawKey  *WithdrawKey  `parser:"| @@" json:"withdraw_key,omitempty"`
	SetAccount   *SetAccount   `parser:"| @@" json:"set_account,omitempty"`
	SetRoute     *SetRoute     `parser:"| @@" json:"set_route,omitempty"`
	RemoveRoute  *RemoveRoute  `parser:"| @@" json:"remove_route,omitempty"`
	SetObjective *SetObjective `parser:"| @@" json:"set_objective,omitempty"`
	StopVM       *StopVM       `parser:"| @@" json:"stop_vm,omitempty"`
	CancelStop   *CancelStop   `parser:"| @@" json:"cancel_stop,omitempty"`
	LostVM       *LostVM       `parser:"| @@" json:"lost_vm,omitempty"`
	Show         *Show         `parser:"| @@" json:"show,omitempty"`
}

// IssueKey makes a key for a client account.
type IssueKey struct {
	Account string `parser:"'issue' 'key' 'for' @(Ident|String|Number)" json:"account"`
}

// WithdrawKey withdraws the key with this id, or with the one id that begins so.
type WithdrawKey struct {
	ID string `parser:"'withdraw' 'key' @(Ident|String|Number)" json:"id"`
}

// SetAccount sets a client account's rate, in requests a second, and burst, in requests; 0 leaves what is set.
type SetAccount struct {
	Name    string          `parser:"'set' 'account' @(Ident|String|Number)" json:"name"`
	Options []AccountOption `parser:"@@+" json:"-"`
	Rate    float64         `parser:"" json:"rate"`
	Burst   float64         `parser:"" json:"burst"`
}

// AccountOption is one figure of a client account as it was written; the parser moves it to its field.
type AccountOption struct {
	Name  string `parser:"@('rate'|'burst')" json:"name"`
	Value string `parser:"@Number" json:"value"`
}

// SetRoute sets marks of a route named "METHOD /path"; marks that are not named stay as they are.
type SetRoute struct {
	Name    string        `parser:"'set' 'route' @String" json:"name"`
	Options []RouteOption `parser:"@@+" json:"options"`
}

// RouteOption is one mark of a route: its name and its value.
type RouteOption struct {
	Name  string `parser:"@('service'|'importance'|'worth'|'non_idempotent'|'open'|'timeout_ms')" json:"name"`
	Value string `parser:"@(Ident|String|Number)" json:"value"`
}

// RemoveRoute removes the route of exactly this name.
type RemoveRoute struct {
	Name string `parser:"'remove' 'route' @String" json:"name"`
}

// SetObjective sets figures of a service's objective; those that are not named stay as they are.
type SetObjective struct {
	Service string            `parser:"'set' 'objective' @(Ident|String|Number)" json:"service"`
	Options []ObjectiveOption `parser:"@@+" json:"options"`
}

// ObjectiveOption is one figure of an objective: whole and share are in percent, latency_ms in milliseconds.
type ObjectiveOption struct {
	Name  string `parser:"@('whole'|'latency_ms'|'share')" json:"name"`
	Value string `parser:"@Number" json:"value"`
}

// StopVM plans a VM's stop; At is RFC 3339, a delay such as +30s, or now.
type StopVM struct {
	VM string `parser:"'stop' 'vm' @(Ident|String|Number)" json:"vm"`
	At string `parser:"'at' @(Time|Delay|'now')" json:"at"`
}

// CancelStop withdraws a VM's planned stop.
type CancelStop struct {
	VM string `parser:"'cancel' 'stop' @(Ident|String|Number)" json:"vm"`
}

// LostVM declares a VM destroyed by the platform.
type LostVM struct {
	VM string `parser:"'lost' 'vm' @(Ident|String|Number)" json:"vm"`
}

// Show asks for a table; By and Last, such as 60s, are of refusals, and Struggling is of services.
type Show struct {
	Table      string `parser:"'show' ( @('accounts'|'keys'|'routes'|'stops'|'nodes'|'objectives')" json:"table"`
	Services   bool   `parser:"| @'services'" json:"services,omitempty"`
	Struggling bool   `parser:"@'struggling'?" json:"struggling,omitempty"`
	Refusals   bool   `parser:"| @'refusals'" json:"refusals,omitempty"`
	By         string `parser:"( 'by' @('account'|'service'|'kind') )?" json:"by,omitempty"`
	Last       string `parser:"( 'last' @Ident )? )" json:"last,omitempty"`
}

// CommandRequest is a command as it is sent to a node; ID makes a repeat harmless, Expected of 0 takes any revision, and Wait is how long, in milliseconds, to wait until it is in force everywhere.
type CommandRequest struct {
	ID       string   `json:"id"`
	Command  string   `json:"command"`
	Expected Revision `json:"expected_revision,omitempty"`
	Wait     Millis   `json:"wait_ms,omitempty"`
	// Repeat tells that the command may have been given before under this id.
	Repeat bool `json:"repeat,omitempty"`
}

// Change is a parsed command with its id and the revision that its record is expected to have (0: any); Repeat tells that it may have been given before.
type Change struct {
	ID       string
	Expected Revision
	Repeat   bool
	Command  Command
}

// CommandResult is a command's outcome: the revision written, a new key's secret, or a table.
type CommandResult struct {
	ID       string   `json:"id,omitempty"`
	Revision Revision `json:"revision,omitempty"`
	KeyID    string   `json:"key_id,omitempty"`
	Secret   string   `json:"secret,omitempty"`
	// Repeated tells that the command had been carried out before, at Revision.
	Repeated bool   `json:"repeated,omitempty"`
	Note     string `json:"note,omitempty"`
	Table    *Table `json:"table,omitempty"`
	// NotApplied lists the nodes that had not taken the change in when the wait ended.
	NotApplied []string `json:"not_in_force,omitempty"`
	// Unresponsive lists the nodes that gave no answer, so that the table lacks their part.
	Unresponsive []string `json:"silent,omitempty"`
	Fault        *Fault   `json:"fault,omitempty"`
}

// Table is an answer in rows of text.
type Table struct {
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}
