package feed

import "fmt"

// EraPastError reports that a source answers in an era of the store that has ended.
type EraPastError struct {
	Origin     string
	Era, Known int64 // of the answer, and of this instance's view
}

func (e *EraPastError) Error() string {
	return fmt.Sprintf("%s answers in era %d of the store, this instance knows era %d", e.Origin, e.Era, e.Known)
}
