package core

import "testing"

// TestZeroFailureIsNoFailure checks that the zero Failure is not a failure, so
// that an attempt without one does not look like a failed dial.
func TestZeroFailureIsNoFailure(t *testing.T) {
	if FailDial == 0 {
		t.Fatal("FailDial is the zero value")
	}
}
