package setup

import (
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

// Loader reads settings files; it is safe for concurrent use.
type Loader struct {
	read func(path string) ([]byte, error)
}

// New returns a Loader that reads from the file system.
func New(opts ...func(*Loader)) *Loader {
	l := &Loader{read: os.ReadFile}
	for _, o := range opts {
		o(l)
	}
	return l
}

// WithReader sets the function that reads the settings file and the certificate files.
func WithReader(read func(path string) ([]byte, error)) func(*Loader) {
	return func(l *Loader) { l.read = read }
}

// Load returns the settings in the file, or one fault of KindBadSettings whose message lists every fault of the file on a line of its own.
func (l *Loader) Load(path string) (pomelo.Settings, error) {
	settings, faults := l.Inspect(path)
	if len(faults) == 0 {
		return settings, nil
	}
	return pomelo.Settings{}, errors.WithStack(settingsFault(faults))
}

// Inspect returns the valid settings of the file and all of its faults in the order of lines.
func (l *Loader) Inspect(path string) (pomelo.Settings, []pomelo.SettingsFault) {
	x := &inspection{file: path, read: l.read}
	x.run()
	return x.settings, x.faults
}

func settingsFault(faults []pomelo.SettingsFault) *pomelo.Fault {
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		lines = append(lines, faultText(f))
	}
	return pomelo.NewFault(
		pomelo.KindBadSettings,
		strings.Join(lines, "\n"),
		"mend each line listed and check the file again",
	)
}

// faultText formats a fault as "file:line: [section] key: message; remedy" and omits unknown parts.
func faultText(f pomelo.SettingsFault) string {
	text := f.File
	if f.Line > 0 {
		text += fmt.Sprintf(":%d", f.Line)
	}
	text += ":"
	if f.Section != "" {
		text += " [" + f.Section + "]"
	}
	if f.Key != "" {
		text += " " + f.Key + ":"
	}
	return text + " " + f.Message + "; " + f.Remedy
}
