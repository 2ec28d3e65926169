package entry

// Shortage names the resource that was missing.
type Shortage string

// Shortages. Those of submissions are the reasons of pkg/submission.
const (
	ShortageBundle          Shortage = "bundle"           // this instance holds no bundle
	ShortageIndexManifest   Shortage = "index-manifest"   // this instance knows no index of the service
	ShortageSnapshot        Shortage = "snapshot"         // no snapshot of the index is served
	ShortageCoverage        Shortage = "coverage"         // too few documents could be searched
	ShortageCapacity        Shortage = "backend-capacity" // backend servers had no slot in time
	ShortageCrashingRequest Shortage = "crashing-request" // backend servers are protected from the request
	ShortageInternal        Shortage = "internal"         // a fault of this instance
)
