// Package holding accounts for the memory that a router holds for others: heads and bodies of
// callers, and answers that their callers do not read as fast as they come.
//
// The load that it answers: many clients that send or read less than they could, or more than
// they may, and bursts of large bodies. Each kind has a part of the process's memory, and all
// kinds together have one too. A body is read only once there is room for the whole of it, so
// that bodies in progress can always end; others wait. State is a reducer without I/O.
package holding
