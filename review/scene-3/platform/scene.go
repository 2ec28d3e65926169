package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

// host is the host of all routes.
const host = "desk.example"

// scene is a small deployment: two machines in each of three zones, a store and backend servers.
type scene struct {
	folder   string
	store    *platformtest.Store
	machines []*machine
	servers  []*platformtest.Server
}

var zones = []string{"andina-a", "andina-b", "andina-c"}

// newScene makes the deployment without starting its instances. StoreOf returns the address at
// which a machine reaches the store.
func newScene(program string, storeOf func(s *scene, machine string) (string, error)) (*scene, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	s := &scene{folder: folder, store: platformtest.NewStore(500)}
	ips, err := freeAddresses(2 * len(zones))
	if err != nil {
		return nil, err
	}
	d := &deployment{folder: folder, program: program, zones: zones}
	for _, i := range []int{0, 2, 4} {
		d.seeds = append(d.seeds, fmt.Sprintf("%s:%d", ips[i], portControl))
	}
	for i, ip := range ips {
		zone := zones[i/2]
		name := fmt.Sprintf("edge-%s-%d", zone, i%2+1)
		if d.store, err = storeOf(s, name); err != nil {
			return nil, err
		}
		m, err := d.newMachine(name, zone, ip)
		if err != nil {
			return nil, err
		}
		s.machines = append(s.machines, m)
	}
	return s, nil
}

// freeAddresses returns loopback addresses on which the ports of an instance are free.
func freeAddresses(n int) (ips []string, err error) {
	for range 200 {
		prefix := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
		ips = nil
		for i := range n {
			ips = append(ips, fmt.Sprintf("%s%d", prefix, i+10))
		}
		if err = portsFree(ips); err == nil {
			return ips, nil
		}
	}
	return nil, err
}

func portsFree(ips []string) error {
	for _, ip := range ips {
		for _, port := range []int{portFront, portControl, portReady, 9464} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return err
			}
			_ = l.Close()
		}
	}
	return nil
}

// addServer starts a backend server and lists it.
func (s *scene) addServer(id, service, zone string, work time.Duration) *platformtest.Server {
	server := platformtest.NewServer(id, service, zone)
	server.SetFault(platformtest.Fault{Delay: work})
	s.servers = append(s.servers, server)
	s.list(server, "ready")
	return server
}

func (s *scene) list(server *platformtest.Server, state string) {
	s.store.Write(platformtest.PrefixServers+server.ID, server.Entry(server.Address(), state))
}

// awaitReady waits until all instances are ready.
func (s *scene) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for began := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range s.machines {
			if answer, err := client.Get(m.ready()); err == nil {
				_ = answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(s.machines) {
			return nil
		}
		if time.Since(began) > limit {
			return fmt.Errorf("%d of %d instances ready after %s", ready, len(s.machines), limit)
		}
	}
}

// end ends all that the scene has started. The logs stay if SCENE_KEEP is set.
func (s *scene) end() {
	for _, m := range s.machines {
		m.stop()
	}
	for _, server := range s.servers {
		server.Close()
	}
	s.store.Close()
	if os.Getenv("SCENE_KEEP") == "" {
		_ = os.RemoveAll(s.folder)
		return
	}
	fmt.Println("logs in", s.folder)
}
