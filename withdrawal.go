package pomelo

import "encoding/json"

// Withdrawal is the deregistration of an upstream that the node did not know; StartedAt is the start that it is of, or 0 until that is known.
type Withdrawal struct {
	ID        string `json:"id"`
	StartedAt Millis `json:"born_ms,omitempty"`
}

// EncodeWithdrawals returns the withdrawals as text, so that members that contain them can be compared; empty if there are none.
func EncodeWithdrawals(l []Withdrawal) string {
	if len(l) == 0 {
		return ""
	}
	b, err := json.Marshal(l)
	if err != nil {
		return ""
	}
	return string(b)
}

// DecodeWithdrawals returns the withdrawals of the text; the error is a *Fault of KindBadRequest.
func DecodeWithdrawals(text string) ([]Withdrawal, error) {
	if text == "" {
		return nil, nil
	}
	var l []Withdrawal
	if err := json.Unmarshal([]byte(text), &l); err != nil {
		return nil, badMember("its withdrawals can't be read: " + err.Error())
	}
	return l, nil
}
