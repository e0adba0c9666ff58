// Package message defines the messages between daemons and their encoding:
// CBOR arrays of an integer type tag and a body, one per frame.
//
// A body is a map with integer keys. A receiver ignores unknown keys and skips
// unknown types, so that daemons of two versions can work together during a
// roll-out. Frames over the size limit of their type are rejected before they
// are read completely.
package message
