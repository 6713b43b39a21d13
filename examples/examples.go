package examples

import "embed"

// Catalogues holds the example catalogue files.
//
//go:embed registers.jsonc deliveries.jsonc
var Catalogues embed.FS
