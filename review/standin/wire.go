package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireSource []byte

// wire holds the names of the platform's protocol by those of this program.
var wire = func() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(wireSource, &names); err != nil {
		panic(err)
	}
	return names
}()
