package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/relay"
	"chivecroft.example/chivecroft/platform/fake"
)

// controlCallers is the number of clients at each port for others than callers. It is more
// than the limit of each, and all together are more than the process has descriptors for.
const controlCallers = 300

// misuse plays a client that keeps a connection: one that is silent, one whose head does not
// end, one whose body stops just short of its end, and one that asks without reading.
func misuse(n int, c net.Conn, paths [2]string) {
	switch n % 4 {
	case 0:
	case 1:
		writeWithoutEnd(c, head(n, paths[0])+shortLines(n))
	case 2:
		_, _ = io.WriteString(c, head(n, paths[0])+fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes))
		writeWithoutEnd(c, strings.Repeat("x", crowdBodyBytes/8-1))
	case 3:
		writeWithoutEnd(c, strings.Repeat(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: x\r\n\r\n", paths[1]), 100))
		return
	}
	awaitEnd(c)
}

// TestControlPorts guards against clients at the ready, peer and metrics ports that use
// memory and descriptors without limit, or that keep messages of other instances out.
func TestControlPorts(t *testing.T) {
	s := startCrowdSystem(t)
	ports := map[string][2]string{
		s.ready.String():   {fake.ReadyPath, fake.ReadyPath},
		s.peer.String():    {"/exchange", "/config"},
		s.metrics.String(): {"/metrics", "/metrics"},
	}
	// The clients are on another machine than the instance that sends messages.
	outside := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	s.play(func() {
		end := time.Now().Add(crowdTime)
		var all sync.WaitGroup
		for addr, paths := range ports {
			for n := range controlCallers {
				all.Go(func() {
					for time.Now().Before(end) {
						s.connect(outside, addr, end, func(c net.Conn) { misuse(n, c, paths) })
						time.Sleep(100 * time.Millisecond)
					}
				})
			}
		}
		all.Go(func() { s.sendMessages(end) })
		all.Go(func() { s.checkReadiness(end) })
		all.Wait()
	})
	s.awaitReady()
}

// checkReadiness asks as the platform does, on new connections. A check without an answer
// would take the instance's callers away.
func (s *crowdSystem) checkReadiness(end time.Time) {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 1; time.Now().Before(end); n++ {
		resp, err := client.Get("http://" + s.ready.String() + fake.ReadyPath)
		if err != nil {
			s.t.Errorf("readiness check %d: %v", n, err)
			return
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			s.t.Errorf("readiness check %d was answered %d", n, resp.StatusCode)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// sendMessages sends the messages of another instance on one connection. None may be lost.
func (s *crowdSystem) sendMessages(end time.Time) {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	message := relay.AppendDemand([]byte(`{"from":"i1","zone":"za"}`+"\n"), nil)
	for n := 1; time.Now().Before(end); n++ {
		resp, err := client.Post("http://"+s.peer.String()+"/exchange", "", bytes.NewReader(message))
		if err != nil {
			s.t.Errorf("message %d of another instance was lost: %v", n, err)
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
			s.t.Errorf("message %d of another instance was answered %d", n, resp.StatusCode)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
