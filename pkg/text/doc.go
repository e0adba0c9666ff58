// Package text reads the configuration text of the operators: one TOML file that
// lists the services with their dependencies, runners and limits.
//
// # Use
//
// Parse rejects unknown fields. It returns a Text, or a list of findings with the
// line, the column and the expected value. A Text must not be changed after Parse
// and may be shared between goroutines.
//
// # Inheritance
//
// A service inherits the strictest availability budget and the largest urgent
// share of the services that depend on it, directly or through others. Parse
// stores the inherited values in the fields of the Service, so that readers do
// not have to follow the dependencies.
package text
