// Package rollout is the part of the reducer that brings each router to the
// newest configuration and keeps it from going back.
//
// A router learns of a generation from the key-value service, which it asks in
// turn, and from its peers, which tell each other of a new generation and fetch
// its parts from one another. It applies a generation once, and never one that
// is lower than the one in force. A router without memory gathers what the
// platform and its peers know for a moment before it applies the highest.
package rollout
