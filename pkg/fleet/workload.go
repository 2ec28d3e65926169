package fleet

import (
	"fmt"
	"math/rand/v2"

	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

// submissionShare is the part of a class's requests that are submissions, when
// the class may submit.
const submissionShare = 0.1

// distinctPrefixes bounds the different queries of a workload, so that most of
// them have been seen before.
const distinctPrefixes = 26

// Workload draws requests of a deployment's classes. The same seed gives the
// same requests. It is not safe for concurrent use.
type Workload struct {
	spec    standin.DeploymentSpec
	classes []Class
	random  *rand.Rand
	label   string
	count   int
}

// NewWorkload returns a workload of the services that the deployment runs. The
// label keeps the payloads of several workloads apart.
func NewWorkload(spec standin.DeploymentSpec, seed uint64, label string) *Workload {
	w := &Workload{spec: spec, label: label, random: rand.New(rand.NewPCG(seed, 0x5eed))}
	for _, class := range Classes(spec.Name) {
		class.Services = present(spec, class.Services)
		if len(class.Services) > 0 {
			w.classes = append(w.classes, class)
		}
	}
	return w
}

// Next returns the next request.
func (w *Workload) Next() Request {
	w.count++
	class := w.class()
	searches, submissions := w.split(class)
	request := Request{Class: class, Limit: 20, Draw: w.random.Uint64()}
	submits := w.random.Float64() < submissionShare
	if len(submissions) > 0 && (submits || len(searches) == 0) {
		request.Service = submissions[w.random.IntN(len(submissions))]
		request.Key = w.key()
		request.Payload = fmt.Sprintf("%s %s %d", w.label, class.Name, w.count)
		return request
	}
	request.Service = searches[w.random.IntN(len(searches))]
	request.Query = w.query()
	return request
}

// shareSamples is the number of requests from which a share is estimated.
const shareSamples = 20000

// Share returns the part of such a workload's requests that go to a service.
func (w *Workload) Share(service string) float64 {
	sample := NewWorkload(w.spec, 1, "share")
	count := 0
	for range shareSamples {
		if sample.Next().Service == service {
			count++
		}
	}
	return float64(count) / shareSamples
}

func (w *Workload) class() Class {
	total := 0.0
	for _, class := range w.classes {
		total += class.Share
	}
	draw := w.random.Float64() * total
	for _, class := range w.classes {
		if draw -= class.Share; draw < 0 {
			return class
		}
	}
	return w.classes[len(w.classes)-1]
}

func (w *Workload) split(class Class) (searches, submissions []string) {
	for _, name := range class.Services {
		service, err := w.spec.Service(name)
		if err != nil {
			continue
		}
		if service.Submission {
			submissions = append(submissions, name)
		} else {
			searches = append(searches, name)
		}
	}
	return searches, submissions
}

func (w *Workload) query() string {
	switch draw := w.random.IntN(10); {
	case draw == 0:
		return "all"
	case draw < 3:
		return "key:" + w.key()
	}
	return fmt.Sprintf("prefix:%c", 'a'+w.random.IntN(distinctPrefixes))
}

func (w *Workload) key() string {
	return fmt.Sprintf("%c%c-%06d", 'a'+w.random.IntN(26), 'a'+w.random.IntN(26), w.random.IntN(4000))
}
