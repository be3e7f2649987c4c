package pomelo

import (
	"slices"
	"strings"
)

// Names of the features of a node on the users' platform.
const (
	FeaturePeerSubset   = "peer_subset"
	FeatureRelayedWatch = "relayed_watch"
)

// Features are the optional parts of a node on the users' platform; the zero value enables none of them.
type Features struct {
	// PeerSubset sends calls to a stable subset of the members of a service.
	PeerSubset bool
	// RelayedWatch has most nodes receive changes in the store from other nodes.
	RelayedWatch bool
}

// ParseFeatures decodes a comma-separated list of names; an unknown name is a *Fault of KindBadSettings that lists the known ones.
func ParseFeatures(list string) (Features, error) {
	var f Features
	known := map[string]*bool{
		FeaturePeerSubset:   &f.PeerSubset,
		FeatureRelayedWatch: &f.RelayedWatch,
	}
	for name := range strings.SplitSeq(list, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			continue
		}
		enabled, ok := known[name]
		if !ok {
			return Features{}, NewFault(KindBadSettings, "the feature "+name+" is unknown", "use some of "+strings.Join(featureNames(known), ", "))
		}
		*enabled = true
	}
	return f, nil
}

func featureNames(known map[string]*bool) []string {
	var out []string
	for name := range known {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
