package entry

import (
	"context"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
)

// appliedPolicy holds the policy that a call was resolved to, so that the log
// record of a refusal can name the caller and the class. It belongs to the
// goroutine that handles the call.
type appliedPolicy struct {
	policy bundle.Policy // zero until a policy is resolved
}

type appliedPolicyKey struct{}

// withAppliedPolicy returns a context in which Entry.resolvePolicy stores the
// policy.
func withAppliedPolicy(ctx context.Context) (context.Context, *appliedPolicy) {
	applied := &appliedPolicy{}
	return context.WithValue(ctx, appliedPolicyKey{}, applied), applied
}

// recordPolicy stores the policy in the appliedPolicy of ctx, if there is one.
func recordPolicy(ctx context.Context, policy bundle.Policy) {
	if applied, ok := ctx.Value(appliedPolicyKey{}).(*appliedPolicy); ok {
		applied.policy = policy
	}
}
