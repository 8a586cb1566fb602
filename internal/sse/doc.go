// Package sse reads and writes server-sent events in the format of the WHATWG HTML
// standard. Lines and events are limited in size.
package sse
