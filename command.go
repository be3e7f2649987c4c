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

// IssueKey creates a key for a client account.
type IssueKey struct {
	Account string `parser:"'issue' 'key' 'for' @(Ident|String|Number)" json:"account"`
}

// WithdrawKey withdraws the key with this id or unique id prefix.
type WithdrawKey struct {
	ID string `parser:"'withdraw' 'key' @(Ident|String|Number)" json:"id"`
}

// SetAccount sets a client account's rate, in requests per second, and burst, in requests; 0 leaves a value unchanged.
type SetAccount struct {
	Name    string          `parser:"'set' 'account' @(Ident|String|Number)" json:"name"`
	Options []AccountOption `parser:"@@+" json:"-"`
	Rate    float64         `parser:"" json:"rate"`
	Burst   float64         `parser:"" json:"burst"`
}

// AccountOption is one option of SetAccount as parsed; the parser copies its value to the matching field.
type AccountOption struct {
	Name  string `parser:"@('rate'|'burst')" json:"name"`
	Value string `parser:"@Number" json:"value"`
}

// SetRoute sets options of the route named "METHOD /path"; other options stay unchanged.
type SetRoute struct {
	Name    string        `parser:"'set' 'route' @String" json:"name"`
	Options []RouteOption `parser:"@@+" json:"options"`
}

// RouteOption is the name and value of one option of a route.
type RouteOption struct {
	Name  string `parser:"@('service'|'importance'|'worth'|'non_idempotent'|'open'|'timeout_ms')" json:"name"`
	Value string `parser:"@(Ident|String|Number)" json:"value"`
}

// RemoveRoute removes the route with exactly this name.
type RemoveRoute struct {
	Name string `parser:"'remove' 'route' @String" json:"name"`
}

// SetObjective sets options of a service's objective; other options stay unchanged.
type SetObjective struct {
	Service string            `parser:"'set' 'objective' @(Ident|String|Number)" json:"service"`
	Options []ObjectiveOption `parser:"@@+" json:"options"`
}

// ObjectiveOption is one option of an objective: whole and share in percent, latency_ms in milliseconds.
type ObjectiveOption struct {
	Name  string `parser:"@('whole'|'latency_ms'|'share')" json:"name"`
	Value string `parser:"@Number" json:"value"`
}

// StopVM schedules the stop of a VM; At is an RFC 3339 time, a delay such as +30s, or now.
type StopVM struct {
	VM string `parser:"'stop' 'vm' @(Ident|String|Number)" json:"vm"`
	At string `parser:"'at' @(Time|Delay|'now')" json:"at"`
}

// CancelStop cancels the scheduled stop of a VM.
type CancelStop struct {
	VM string `parser:"'cancel' 'stop' @(Ident|String|Number)" json:"vm"`
}

// LostVM declares that the platform has destroyed a VM.
type LostVM struct {
	VM string `parser:"'lost' 'vm' @(Ident|String|Number)" json:"vm"`
}

// Show requests a table; By and Last, such as 60s, apply to refusals, Struggling to services.
type Show struct {
	Table      string `parser:"'show' ( @('accounts'|'keys'|'routes'|'stops'|'nodes'|'objectives')" json:"table"`
	Services   bool   `parser:"| @'services'" json:"services,omitempty"`
	Struggling bool   `parser:"@'struggling'?" json:"struggling,omitempty"`
	Refusals   bool   `parser:"| @'refusals'" json:"refusals,omitempty"`
	By         string `parser:"( 'by' @('account'|'service'|'kind') )?" json:"by,omitempty"`
	Last       string `parser:"( 'last' @Ident )? )" json:"last,omitempty"`
}

// CommandRequest is a command as sent to a node.
type CommandRequest struct {
	// ID makes repeating the request idempotent.
	ID      string `json:"id"`
	Command string `json:"command"`
	// Expected is the revision that the changed record must have; 0 accepts any.
	Expected Revision `json:"expected_revision,omitempty"`
	// Wait is the longest time to wait until every node has applied the change, in milliseconds.
	Wait Millis `json:"wait_ms,omitempty"`
	// Repeat marks a command that may already have been sent with this id.
	Repeat bool `json:"repeat,omitempty"`
}

// Change is a parsed command that changes the configuration.
type Change struct {
	ID string
	// Expected is the revision that the changed record must have; 0 accepts any.
	Expected Revision
	// Repeat marks a command that may already have been sent with this id.
	Repeat  bool
	Command Command
}

// CommandResult is the outcome of a command: the revision written, a new key's secret, or a table.
type CommandResult struct {
	ID       string   `json:"id,omitempty"`
	Revision Revision `json:"revision,omitempty"`
	KeyID    string   `json:"key_id,omitempty"`
	Secret   string   `json:"secret,omitempty"`
	// Repeated marks a command that had already been executed, at Revision.
	Repeated bool   `json:"repeated,omitempty"`
	Note     string `json:"note,omitempty"`
	Table    *Table `json:"table,omitempty"`
	// NotApplied lists the nodes that had not applied the change when the wait ended.
	NotApplied []string `json:"not_in_force,omitempty"`
	// Unresponsive lists the nodes that gave no answer and are missing from the table.
	Unresponsive []string `json:"silent,omitempty"`
	Fault        *Fault   `json:"fault,omitempty"`
}

// Table is a result as rows of text.
type Table struct {
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}
