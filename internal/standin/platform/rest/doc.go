// Package rest decodes JSON requests and writes JSON responses and errors for
// the parts of the platform stand-in. It has no state.
package rest
