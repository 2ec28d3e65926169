package backend

import (
	"errors"
	"testing"
)

func noError(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("unexpected error: %v", err)
	}
}

func equal[T comparable](t *testing.T, name string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", name, got, want)
	}
}

// failure returns err as the CallError that every method promises.
func failure(t *testing.T, err error) *CallError {
	t.Helper()
	var call *CallError
	if !errors.As(err, &call) {
		t.Fatalf("not a CallError: %v", err)
	}
	return call
}
