package change

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/pomeloworks/pomelo"
)

// maxHistoryCommands is the number of latest commands that a record's history retains.
const maxHistoryCommands = 8

// timeUUIDVersion is the UUID version that contains a millisecond timestamp.
const (
	timeUUIDVersion = 7
	millisPerSecond = 1000
	nanosPerMilli   = 1_000_000
)

// appliedCommand is one entry of a record's command history. Base is the revision of the record that the command replaced.
type appliedCommand struct {
	ID     string          `json:"id"`
	Base   pomelo.Revision `json:"base"`
	Digest string          `json:"digest"`
}

// commandHistory holds the latest commands applied to a record, so that a repeated command is not applied again.
type commandHistory struct {
	Commands []appliedCommand `json:"last_commands,omitempty"`
}

// document is a record's value together with its command history.
type document interface {
	record(a appliedCommand)
}

type accountDocument struct {
	pomelo.ClientAccount
	commandHistory
}

type keyDocument struct {
	pomelo.Key
	commandHistory
}

type routeDocument struct {
	pomelo.Route
	commandHistory
}

type objectiveDocument struct {
	pomelo.Objective
	commandHistory
}

type stopDocument struct {
	pomelo.Stop
	commandHistory
}

func (h *commandHistory) record(a appliedCommand) {
	h.Commands = append(h.Commands, a)
	if len(h.Commands) > maxHistoryCommands {
		h.Commands = h.Commands[len(h.Commands)-maxHistoryCommands:]
	}
}

// find returns the command with this id and the revision that it wrote: the base of the next command, or the record's current revision.
func (h commandHistory) find(id string, current pomelo.Revision) (appliedCommand, pomelo.Revision, bool) {
	for i, a := range h.Commands {
		if a.ID != id {
			continue
		}
		if i+1 < len(h.Commands) {
			return a, h.Commands[i+1].Base, true
		}
		return a, current, true
	}
	return appliedCommand{}, 0, false
}

// mayHaveDropped reports whether a command with this id may have been dropped from a full history, that is, whether the id is not known to be newer than the oldest entry.
func (h commandHistory) mayHaveDropped(id string) bool {
	if len(h.Commands) < maxHistoryCommands {
		return false
	}
	createdAt, ok := uuidTime(id)
	oldestAt, known := uuidTime(h.Commands[0].ID)
	return !ok || !known || createdAt <= oldestAt
}

// uuidTime returns the timestamp of a UUID of version 7, in milliseconds since the Unix epoch.
func uuidTime(id string) (int64, bool) {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != timeUUIDVersion {
		return 0, false
	}
	seconds, nanos := u.Time().UnixTime()
	return seconds*millisPerSecond + nanos/nanosPerMilli, true
}

// decode unmarshals the record's value; into stays unchanged when the record does not exist.
func decode(r pomelo.Record, into any) error {
	if r.Revision == 0 {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(r.Value, into), "decode record %s", r.Key)
}
