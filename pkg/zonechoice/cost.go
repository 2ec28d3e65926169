package zonechoice

import "time"

const (
	// DefaultCostPerKiB makes an exchange of about one KiB as dear as the typical response
	// time of a part of an answer, 5 to 20 ms. The fixed factor 2 has the same effect.
	DefaultCostPerKiB = 10 * time.Millisecond
	// assumedBytes is the size of an exchange before the first one: a reply of 100 to
	// 400 bytes, the request, and the headers of both.
	assumedBytes = 1024
	bytesPerKiB  = 1024
)

// Cost returns the response time that is accepted for not exchanging the bytes with
// another zone.
func Cost(bytes float64, perKiB time.Duration) time.Duration {
	if bytes <= 0 {
		bytes = assumedBytes
	}
	return time.Duration(bytes / bytesPerKiB * float64(perKiB))
}

// Way returns what the way to another zone adds to the expected response time of a server
// there. Without a measured round trip that time counts twice.
func Way(z *Zone, bytes float64, perKiB time.Duration) time.Duration {
	if !z.RoundTripKnown {
		return z.Expected
	}
	return z.RoundTrip + Cost(bytes, perKiB)
}
