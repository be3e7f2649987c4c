package setup

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pomeloworks/pomelo"
)

// checkWord asks for one of the words; one and all name them in the fault.
func checkWord(value string, words []string, one, all string) *problem {
	if slices.Contains(words, value) {
		return nil
	}
	return &problem{
		fmt.Sprintf("%q is not a %s", value, one),
		fmt.Sprintf("did you mean %q? the %s are %s", nearest(value, words), all, strings.Join(words, ", ")),
	}
}

func checkControl(_ descriptor, value string) *problem {
	return checkWord(value, []string{pomelo.ControlFull, pomelo.ControlFixed, pomelo.ControlNone}, "control", "controls")
}

func checkParts(_ descriptor, value string) *problem {
	for _, w := range splitList(value) {
		if p := checkWord(w, pomelo.ControlFeatures(), "part of the control", "parts"); p != nil {
			return p
		}
	}
	return nil
}
