package plans

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/pomeloworks/pomelo"
)

// Loader reads plans; its errors are faults of KindBadCommand.
type Loader struct {
	read func(path string) ([]byte, error)
}

// New returns a loader that reads from the file system.
func New(opts ...func(*Loader)) *Loader {
	l := &Loader{read: os.ReadFile}
	for _, o := range opts {
		o(l)
	}
	return l
}

// WithReader replaces the function that reads a file's content.
func WithReader(read func(path string) ([]byte, error)) func(*Loader) {
	return func(l *Loader) { l.read = read }
}

// Fleet reads a fleet plan; omitted limits get their defaults.
func (l *Loader) Fleet(path string) (pomelo.FleetPlan, error) {
	p := pomelo.FleetPlan{Limits: pomelo.DefaultLimits()}
	if err := l.decode(path, &p); err != nil {
		return p, err
	}
	return p, checkFleet(path, p)
}

// Load reads a load plan.
func (l *Loader) Load(path string) (pomelo.LoadPlan, error) {
	var p pomelo.LoadPlan
	if err := l.decode(path, &p); err != nil {
		return p, err
	}
	return p, checkLoad(path, p)
}

// Report reads the reports that a load run wrote with -json.
func (l *Loader) Report(path string) ([]pomelo.LoadReport, error) {
	var p []pomelo.LoadReport
	err := l.decode(path, &p)
	return p, err
}

// CheckReferences checks that the load plan's accounts, routes and triggers exist in the fleet.
func (l *Loader) CheckReferences(f pomelo.FleetPlan, p pomelo.LoadPlan) error {
	return checkReferences(f, p)
}

// decode rejects unknown fields, since a misspelt field would otherwise be ignored silently.
func (l *Loader) decode(path string, into any) error {
	b, err := l.read(path)
	if err != nil {
		return pomelo.NewFault(pomelo.KindBadCommand, "the file can't be read: "+err.Error(), "check the path")
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return invalidPlan(path, err.Error())
	}
	return nil
}

func invalidPlan(path, message string) error {
	return pomelo.NewFault(pomelo.KindBadCommand, path+": "+message, "see docs/pomelo_load.md for the fields, and examples/ for whole files")
}
