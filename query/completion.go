package query

import (
	"strings"
	"unicode"

	"github.com/agext/levenshtein"
	"github.com/alecthomas/participle/v2/lexer"
)

const (
	languageHelp = "see docs/commands.md for the language"
	maxLineBytes = 4096
)

// keywords lists all keywords of the command language.
var keywords = []string{
	"account", "accounts", "at", "burst", "by", "cancel", "for", "importance", "issue", "key", "keys", "kind", "last",
	"latency_ms", "lost", "non_idempotent", "nodes", "now", "objective", "objectives", "open", "rate", "refusals",
	"remove", "route", "routes", "service", "services", "set", "share", "show", "stop", "stops", "struggling",
	"timeout_ms", "vm", "whole", "withdraw", "worth",
}

// Completions returns the keywords that may complete the last word of the line.
func (p *Parser) Completions(line string) []string {
	wordStart := strings.LastIndexFunc(line, unicode.IsSpace) + 1
	var out []string
	for _, w := range p.nextKeywords(line[:wordStart]) {
		if strings.HasPrefix(w, line[wordStart:]) {
			out = append(out, w)
		}
	}
	return out
}

// nextKeywords returns the keywords that the parser accepts after the prefix.
func (p *Parser) nextKeywords(prefix string) []string {
	if !p.acceptsKeyword(prefix) {
		return nil
	}
	var out []string
	for _, w := range keywords {
		if p.accepts(prefix, w) || p.accepts(prefix, w+" 1") || p.accepts(prefix, w+" x") {
			out = append(out, w)
		}
	}
	return out
}

// acceptsKeyword reports whether a keyword may follow the prefix. Where a name, a number or a time is required, either every keyword would be accepted or none.
func (p *Parser) acceptsKeyword(prefix string) bool {
	return !p.accepts(prefix, "\"\"") && !p.accepts(prefix, "0 ")
}

// accepts reports whether the parser reads past the word after the prefix. The word may include a value, since the parser reports an option without a value at the option's name.
func (p *Parser) accepts(prefix, word string) bool {
	_, err := p.parser.ParseString("", prefix+word)
	if err == nil {
		return true
	}
	offset, ok := errorOffset(err)
	return ok && offset >= len(prefix)+len(strings.TrimSpace(word))
}

func withTrailingSpace(prefix string) string {
	if prefix == "" || strings.HasSuffix(prefix, " ") {
		return prefix
	}
	return prefix + " "
}

func wordAt(line string, offset int) string {
	rest := line[min(offset, len(line)):]
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return ""
	}
	return fields[0]
}

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

func joinWords(words []string) string {
	return strings.Join(words, ", ")
}

// trimSpace removes the trailing space that the Number rule matches to distinguish a number from a name that begins with digits.
func trimSpace(t lexer.Token) (lexer.Token, error) {
	t.Value = strings.TrimSpace(t.Value)
	return t, nil
}
