package entry

import (
	"context"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// dispatch is one search message to one owner with all its attempts.
type dispatch struct {
	owner    membership.Instance
	rank     int // ownership rank that was asked, 0 first
	attempts map[int32]*attempt
	pending  int // attempts without a result
	sent     time.Time
	acked    bool // the owner has sent a frame
	cancel   context.CancelFunc
}
