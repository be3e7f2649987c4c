package block

import (
	"sync"

	"github.com/pomeloworks/pomelo"
)

// maxCrashes is the number of crashes under one content from which on it is blocked.
const maxCrashes = 3

// List holds the crashes of the fleet and their suspects; times are in milliseconds.
type List struct {
	mu       sync.Mutex
	crashes  map[crash]pomelo.Millis
	suspects map[pomelo.Fingerprint]suspect
	// lastUntil is the time from which no crash is held against anyone.
	lastUntil pomelo.Millis
}

// crash identifies one end of one upstream.
type crash struct {
	vm         string
	upstreamID string
	startedAt  pomelo.Millis
}

// suspect holds when the crashes under one content are forgotten.
type suspect map[crash]pomelo.Millis

// New returns an empty list.
func New() *List {
	return &List{crashes: map[crash]pomelo.Millis{}, suspects: map[pomelo.Fingerprint]suspect{}}
}

// Add holds a crash against its suspects for pomelo.CrashTTL; it returns false if the crash is already known.
func (l *List) Add(now pomelo.Millis, c pomelo.Crash) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	k := crash{vm: c.VM, upstreamID: c.UpstreamID, startedAt: c.StartedAt}
	if _, ok := l.crashes[k]; ok {
		return false
	}
	until := now + pomelo.CrashTTL
	l.crashes[k] = until
	l.lastUntil = max(l.lastUntil, until)
	for _, f := range c.Suspects {
		if l.suspects[f] == nil {
			l.suspects[f] = suspect{}
		}
		l.suspects[f][k] = until
	}
	return true
}

// HasSuspects reports whether any crash is held against anyone; without one, nothing is blocked.
func (l *List) HasSuspects(now pomelo.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now < l.lastUntil && len(l.suspects) > 0
}

// RecordAnswer clears a content that an upstream has just answered: it was another call under which the upstreams crashed.
func (l *List) RecordAnswer(f pomelo.Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.suspects, f)
}

// BlockedFor returns for how long calls of this content are refused, in milliseconds; 0 if they are not.
func (l *List) BlockedFor(now pomelo.Millis, f pomelo.Fingerprint) pomelo.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	crashes, first := 0, pomelo.Millis(0)
	for _, until := range l.suspects[f] {
		if until <= now {
			continue
		}
		crashes++
		if first == 0 || until < first {
			first = until
		}
	}
	if crashes < maxCrashes {
		return 0
	}
	return first - now
}

func (l *List) expire(now pomelo.Millis) {
	for k, until := range l.crashes {
		if until <= now {
			delete(l.crashes, k)
		}
	}
	for f, s := range l.suspects {
		for k, until := range s {
			if until <= now {
				delete(s, k)
			}
		}
		if len(s) == 0 {
			delete(l.suspects, f)
		}
	}
}
