package entry

// Shortage names the resource that a refused request lacked.
type Shortage string

// Shortages of searches and of the instance. Submissions also use the refusal
// reasons of package submission.
const (
	ShortageBundle          Shortage = "bundle"           // this instance has no bundle yet
	ShortageIndexManifest   Shortage = "index-manifest"   // this instance has no index manifest of the service
	ShortageSnapshot        Shortage = "snapshot"         // no snapshot of the index is served
	ShortageCoverage        Shortage = "coverage"         // too few documents were covered
	ShortageCapacity        Shortage = "backend-capacity" // no slot on a backend server was free in time
	ShortageCrashingRequest Shortage = "crashing-request" // the request is refused to protect backend servers from crashes
	ShortageInternal        Shortage = "internal"         // a fault of this instance
)
