package standin

import "time"

// linkChunk is data on its way, to be delivered when due.
type linkChunk struct {
	data []byte
	due  time.Time
}
