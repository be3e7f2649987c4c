package main

import (
	"bytes"
	_ "embed" // Embeds the platform's documents.
	"encoding/json"
	"text/template"
)

var (
	//go:embed names.json
	namesDocument []byte
	//go:embed policy.tmpl
	policyText string
	//go:embed settings.tmpl
	settingsText string
	//go:embed heartbeat.tmpl
	heartbeatText string
)

// names are the names of the platform's protocol.
type names struct {
	SettingsVariable string `json:"settings_variable"`
	PolicyKey        string `json:"policy_key"`
	ReadyPath        string `json:"ready_path"`
	HeartbeatPath    string `json:"heartbeat_path"`
	DeregisterPath   string `json:"deregister_path"`
	RequestID        string `json:"request_id"`
	Deadline         string `json:"deadline"`
	Seal             string `json:"seal"`
	NotRun           string `json:"not_run"`
	Expected         string `json:"expected"`
	Instance         string `json:"instance"`
}

func readNames() (names, error) {
	var n names
	err := json.Unmarshal(namesDocument, &n)
	return n, err
}

// fill returns the text with the fields of data.
func fill(text string, data any) ([]byte, error) {
	t, err := template.New("").Parse(text)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	err = t.Execute(&b, data)
	return b.Bytes(), err
}

// usageCap is the limit of the only tenant, in requests a second, and its burst.
type usageCap struct {
	Rate  int
	Burst int
}

// wideCap does not limit the traffic of the cases.
var wideCap = usageCap{Rate: 480, Burst: 480}

// setCap writes the policy with the tenant's limit, as the operator does.
func (l *lab) setCap(c usageCap) error {
	document, err := fill(policyText, c)
	if err != nil {
		return err
	}
	l.store.Put(l.names.PolicyKey, document)
	return nil
}
