package core

import "testing"

// TestZeroFailureIsNoFailure guards the zero value: an attempt without a
// failure must not look like a failed dial.
func TestZeroFailureIsNoFailure(t *testing.T) {
	if FailDial == 0 {
		t.Fatal("FailDial is the zero value")
	}
}
