// Package sse reads and writes server-sent events in the format of the WHATWG
// HTML standard, with bounded lines and events.
package sse
