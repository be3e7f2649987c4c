package logs

import (
	"io"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pomeloworks/pomelo"
)

// timeLayout is RFC 3339 with milliseconds.
const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// Logger implements pomelo.Logger; it is safe for concurrent use and ignores write errors.
type Logger struct {
	next     log.Logger
	now      func() time.Time
	minLevel level.Value
	fields   []any
}

var _ pomelo.Logger = (*Logger)(nil)

// New returns a Logger that writes events of level info and above to w.
func New(w io.Writer, opts ...func(*Logger)) *Logger {
	l := &Logger{now: time.Now, minLevel: level.InfoValue()}
	for _, o := range opts {
		o(l)
	}
	stamp := log.TimestampFormat(func() time.Time { return l.now().UTC() }, timeLayout)
	lines := log.With(log.NewLogfmtLogger(log.NewSyncWriter(w)), "ts", stamp)
	l.next = level.NewFilter(lines, level.Allow(l.minLevel))
	return l
}

// WithLevel sets the minimum level: debug, info or warn; any other name means info.
func WithLevel(name string) func(*Logger) {
	return func(l *Logger) { l.minLevel = level.ParseDefault(name, level.InfoValue()) }
}

// WithFields adds keys and values to every line, after the event.
func WithFields(keyvals ...any) func(*Logger) {
	return func(l *Logger) { l.fields = append(l.fields, keyvals...) }
}

// WithClock takes the timestamps from c.
func WithClock(c pomelo.Clock) func(*Logger) {
	return func(l *Logger) {
		l.now = func() time.Time { return time.UnixMilli(int64(c.Now())) }
	}
}

// Info writes an event of normal operation.
func (l *Logger) Info(event string, keyvals ...any) {
	l.write(level.InfoValue(), event, keyvals)
}

// Warn writes an event that needs an operator's attention.
func (l *Logger) Warn(event string, keyvals ...any) {
	l.write(level.WarnValue(), event, keyvals)
}

// Debug writes an event that is useful only for troubleshooting.
func (l *Logger) Debug(event string, keyvals ...any) {
	l.write(level.DebugValue(), event, keyvals)
}

func (l *Logger) write(v level.Value, event string, keyvals []any) {
	line := make([]any, 0, 4+len(l.fields)+len(keyvals))
	line = append(line, level.Key(), v, "event", event)
	line = append(line, l.fields...)
	line = append(line, keyvals...)
	_ = l.next.Log(line...)
}
