// Package examples holds the configuration texts of the two users.
package examples

import _ "embed" // for the configuration texts

// Brazos is the configuration text of Brazos Vertical Commons.
//
//go:embed brazos.toml
var Brazos []byte

// Kisla is the configuration text of Javno podjetje Kisla Shramba Ljubljana.
//
//go:embed kisla.toml
var Kisla []byte
