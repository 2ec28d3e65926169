package entry

import (
	"context"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// dispatch is one search message to one owner, with the attempts in it.
type dispatch struct {
	owner    membership.Instance
	rank     int // ownership rank of owner, 0 is the first choice
	attempts map[int32]*attempt
	pending  int // attempts without a result
	sent     time.Time
	acked    bool // the owner has sent a frame
	cancel   context.CancelFunc
}
