package main

import (
	_ "embed"
	"encoding/json"
)

// namesFile holds the platform's names, which Go code outside the folder platform does not contain.
//
//go:embed names.json
var namesFile []byte

// names are the platform's names by those that the stand-ins use for them.
var names = readNames()

func readNames() map[string]string {
	out := map[string]string{}
	if err := json.Unmarshal(namesFile, &out); err != nil {
		panic(err)
	}
	return out
}
