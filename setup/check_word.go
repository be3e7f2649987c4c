package setup

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pomeloworks/pomelo"
)

// checkOneOf requires one of the words; singular and plural are the nouns for them in the problem's text.
func checkOneOf(value string, words []string, singular, plural string) *problem {
	if slices.Contains(words, value) {
		return nil
	}
	return &problem{
		fmt.Sprintf("%q is not a %s", value, singular),
		fmt.Sprintf("did you mean %q? the %s are %s", nearest(value, words), plural, strings.Join(words, ", ")),
	}
}

func checkControl(_ descriptor, value string) *problem {
	return checkOneOf(value, []string{pomelo.ControlFull, pomelo.ControlFixed, pomelo.ControlNone}, "control", "controls")
}

func checkFeatures(_ descriptor, value string) *problem {
	for _, w := range splitList(value) {
		if p := checkOneOf(w, pomelo.ControlFeatures(), "part of the control", "parts"); p != nil {
			return p
		}
	}
	return nil
}
