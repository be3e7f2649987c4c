package main

import (
	"context"
	"fmt"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/setup"
)

func cmdCheck() command {
	return command{
		Name:      "check",
		Summary:   "checks a node's settings and reports every fault",
		Arguments: "-settings FILE",
		Action:    runCheck,
	}
}

func runCheck(_ context.Context, c invocation) error {
	if _, err := loadSettings(c); err != nil {
		return err
	}
	_, err := fmt.Fprintln(c.Output, "the settings are fine")
	return err
}

func loadSettings(c invocation) (pomelo.Settings, error) {
	path := c.Flags.String("settings", "", "the INI `file` with the node's settings")
	if err := c.parse(); err != nil {
		return pomelo.Settings{}, err
	}
	if *path == "" {
		return pomelo.Settings{}, pomelo.NewFault(pomelo.KindBadCommand, "no settings file is named", "pass -settings FILE; examples/node.ini shows every key")
	}
	return setup.New().Load(*path)
}
