package fleet

import "encoding/json"

// rawReply is an HTTP reply before it is understood.
type rawReply struct {
	status int
	body   []byte
}

// refusal returns the refusal, or nil if the reply is none.
func (r *rawReply) refusal() *Refusal {
	var refusal Refusal
	if json.Unmarshal(r.body, &refusal) != nil || !refusal.Refused {
		return nil
	}
	return &refusal
}
