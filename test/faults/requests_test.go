package faults

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/fleet"
	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

const (
	submissionsPerStep = 2
	resends            = 3
	submissionBound    = 4 * time.Second
)

// sendSearches sends searches of every class and further ones of the workload.
func (s *system) sendSearches(group *sync.WaitGroup) {
	for range searchesPerStep {
		s.send(group, s.workload.Next())
	}
	for _, request := range s.searchOfEachClass() {
		s.send(group, request)
	}
}

func (s *system) send(group *sync.WaitGroup, request fleet.Request) {
	group.Go(func() { s.do(request) })
}

func (s *system) do(request fleet.Request) fleet.Reply {
	reply := s.fleet.Do(s.ctx, request)
	for _, problem := range reply.Problems {
		s.note("%s %s %q: %s, answer %+v", request.Class.Name, request.Service, request.Query, problem, head(reply))
	}
	return reply
}

// head returns the answer without its hits.
func head(reply fleet.Reply) any {
	if reply.Answer == nil {
		return nil
	}
	answer := *reply.Answer
	answer.Hits = nil
	return answer
}

// searchOfEachClass returns one search for each class and search service.
func (s *system) searchOfEachClass() []fleet.Request {
	var requests []fleet.Request
	for _, class := range fleet.Classes(s.fleet.Spec().Name) {
		for _, name := range class.Services {
			service, err := s.fleet.Spec().Service(name)
			if err != nil || service.Submission {
				continue
			}
			draw := s.workload.Next().Draw
			requests = append(requests, fleet.Request{Class: class, Service: name, Query: "all", Limit: 20, Draw: draw})
		}
	}
	return requests
}

// sendSubmissions sends submissions, each several times at once with the same
// ticket through different instances, and then once more.
func (s *system) sendSubmissions(group *sync.WaitGroup) {
	for range submissionsPerStep {
		s.sent++
		request := s.submission(fmt.Sprintf("payload %d", s.sent))
		group.Go(func() { s.submit(request) })
	}
}

func (s *system) submission(payload string) fleet.Request {
	request := fleet.Request{Key: fmt.Sprintf("ab-%06d", s.sent*97), Payload: payload, Draw: s.workload.Next().Draw}
	for _, class := range fleet.Classes(s.fleet.Spec().Name) {
		for _, name := range class.Services {
			if service, err := s.fleet.Spec().Service(name); err == nil && service.Submission {
				request.Class, request.Service = class, name
			}
		}
	}
	return request
}

func (s *system) submit(request fleet.Request) {
	ctx, cancel := context.WithTimeout(s.ctx, submissionBound)
	defer cancel()
	ticket, _ := s.fleet.Ticket(ctx, request)
	if ticket == "" {
		return
	}
	var group sync.WaitGroup
	for range resends {
		request.Draw += 1
		again := request
		group.Go(func() { s.fleet.Redeem(ctx, again, ticket) })
	}
	group.Wait()
	request.Draw++
	s.fleet.Redeem(ctx, request, ticket)
}

// poison sends a request that crashes backend servers and is repeated through
// other instances.
func (s *system) poison() {
	request := s.searchOfEachClass()[0]
	request.Query = "all" + standin.CrashMarker
	s.background(func(context.Context) {
		for range resends {
			request.Draw++
			s.do(request)
		}
	})
}
