package query

import (
	"fmt"
	"slices"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

// Parser parses lines of the command language.
type Parser struct {
	parser *participle.Parser[pomelo.Command]
}

// New returns a Parser, or an error when the grammar is invalid.
func New() (*Parser, error) {
	rules, err := lexer.NewSimple([]lexer.SimpleRule{
		{Name: "String", Pattern: `"[^"]*"`},
		{Name: "Time", Pattern: `[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:.]+(Z|[+\-][0-9]{2}:[0-9]{2})`},
		{Name: "Delay", Pattern: `\+[0-9]+(ms|s|m|h)\b`},
		{Name: "Number", Pattern: `-?[0-9]+(\.[0-9]+)?(\s|$)`},
		{Name: "Ident", Pattern: `[A-Za-z0-9_][A-Za-z0-9_.\-]*`},
		{Name: "Space", Pattern: `\s+`},
	})
	if err != nil {
		return nil, err
	}
	p, err := participle.Build[pomelo.Command](
		participle.Lexer(rules),
		participle.Unquote("String"),
		participle.Map(trimSpace, "Number"),
		participle.Elide("Space"),
		participle.UseLookahead(2),
	)
	if err != nil {
		return nil, err
	}
	return &Parser{parser: p}, nil
}

// Parse returns the command in the line with its values checked; the error is KindBadCommand with the invalid word and a remedy.
func (p *Parser) Parse(line string) (pomelo.Command, error) {
	if len(line) > maxLineBytes {
		return pomelo.Command{}, badCommand(fmt.Sprintf("the command is longer than %d bytes", maxLineBytes), "give a shorter one")
	}
	c, err := p.parser.ParseString("", line)
	if err != nil {
		return pomelo.Command{}, p.explain(line, err)
	}
	if err := check(c); err != nil {
		return pomelo.Command{}, err
	}
	return *c, nil
}

func (p *Parser) explain(line string, err error) error {
	offset, ok := errorOffset(err)
	if !ok {
		return badCommand(err.Error(), languageHelp)
	}
	word := wordAt(line, offset)
	next := p.nextKeywords(withTrailingSpace(line[:offset]))
	if len(next) == 0 {
		return badCommand(errorMessage(err), languageHelp)
	}
	if word == "" {
		return badCommand("the command is not finished", "go on with one of: "+joinWords(next))
	}
	if slices.Contains(next, word) {
		return badCommand(fmt.Sprintf("%q has no valid value", word), "give a value after it; "+languageHelp)
	}
	return badCommand(fmt.Sprintf("%q is not known here", word), fmt.Sprintf("did you mean %q? possible: %s", nearest(word, next), joinWords(next)))
}

// errorOffset returns the byte offset at which the parser reported the error.
func errorOffset(err error) (int, bool) {
	var p participle.Error
	if !errors.As(err, &p) {
		return 0, false
	}
	return p.Position().Offset, true
}

func errorMessage(err error) string {
	var p participle.Error
	if errors.As(err, &p) {
		return p.Message()
	}
	return err.Error()
}

func badCommand(message, remedy string) error {
	return pomelo.NewFault(pomelo.KindBadCommand, message, remedy)
}
