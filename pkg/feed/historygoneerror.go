package feed

// HistoryGoneError is ErrHistoryGone with the era in which the source answered.
type HistoryGoneError struct {
	Era int64 // 0 is unknown
}

func (e *HistoryGoneError) Error() string { return ErrHistoryGone.Error() }

// Is makes errors.Is report ErrHistoryGone.
func (e *HistoryGoneError) Is(target error) bool { return target == ErrHistoryGone }
