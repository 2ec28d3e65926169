package zonechoice

import "math"

// goldenRatio is the step of the sequence. Of all steps it spreads any number of
// consecutive values most evenly.
const goldenRatio = 0.6180339887498949

// Sequence yields values from 0 to 1 of low discrepancy: of n consecutive values, about
// n times p lie below p. Independent random values would deviate by the square root of n.
type Sequence struct{ value float64 }

// NewSequence returns a sequence that starts after the given value. Different starts keep
// instances from sending out the same requests.
func NewSequence(start float64) *Sequence { return &Sequence{value: start} }

// Next returns the next value, less than 1.
func (s *Sequence) Next() float64 {
	_, s.value = math.Modf(s.value + goldenRatio)
	return s.value
}
