package pomelo

import (
	_ "embed"
	"strings"
)

//go:embed version.txt
var versionFile string

// Version returns the product's version, such as "0.1.0".
func Version() string {
	return strings.TrimSpace(versionFile)
}
