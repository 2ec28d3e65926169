package entry

import (
	"context"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
)

// decision holds the policy that a call was decided under, for the record of
// its refusal. It belongs to the goroutine that handles the call.
type decision struct {
	policy bundle.Policy // zero when no policy applied
}

type decisionKey struct{}

// withDecision returns a context in which Entry.policy records the policy.
func withDecision(ctx context.Context) (context.Context, *decision) {
	d := &decision{}
	return context.WithValue(ctx, decisionKey{}, d), d
}

// recordPolicy stores the policy in the decision that ctx carries, if any.
func recordPolicy(ctx context.Context, policy bundle.Policy) {
	if d, ok := ctx.Value(decisionKey{}).(*decision); ok {
		d.policy = policy
	}
}
