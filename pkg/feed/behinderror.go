package feed

import "fmt"

// BehindError reports that a complete read is not newer than the view of this instance.
type BehindError struct {
	Origin    string
	At, Known Position // of the read, and of this instance's view
}

func (e *BehindError) Error() string {
	return fmt.Sprintf("%s is at %s, this instance is at %s", e.Origin, e.At, e.Known)
}
