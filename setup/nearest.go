package setup

import "github.com/agext/levenshtein"

// nearest returns the valid word with the least edit distance to word.
func nearest(word string, valid []string) string {
	best, bestDistance := "", -1
	for _, v := range valid {
		d := levenshtein.Distance(word, v, nil)
		if bestDistance < 0 || d < bestDistance {
			best, bestDistance = v, d
		}
	}
	return best
}
