package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"pollentack.example/pollentack/platform/platformtest"
)

// TestOddRequestTargetsEndNoProcess guards against a request that ends the process: the parser of
// the HTTP server panics on some request targets, before any handler of this product runs.
func TestOddRequestTargetsEndNoProcess(t *testing.T) {
	targets := []string{"a:b", "a:", "mailto:a@b", "://", "a://", "*", "http:/", "%zz", "//", "?", "#"}
	requests := make([]string, 0, 2*len(targets))
	for _, target := range targets {
		for _, version := range []string{"1.0", "1.1"} {
			requests = append(requests, fmt.Sprintf("GET %s HTTP/%s\r\nConnection: close\r\n\r\n", target, version))
		}
	}
	requireBornByEveryListener(t, requests)
}

// TestAnnouncedBodiesEndNoProcess guards against a request that ends the process: the HTTP server
// makes room for the length that a body or a chunk announces, unless the listener bounds it.
func TestAnnouncedBodiesEndNoProcess(t *testing.T) {
	const head = "POST /v1/status HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
	requireBornByEveryListener(t, []string{
		head + "Transfer-Encoding: chunked\r\n\r\n7ffffffffff\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n7fffffffffffffff\r\n",
		head + "Content-Length: 8796093022207\r\n\r\n",
		head + "Content-Length: 9223372036854775807\r\n\r\n",
	})
}

// requireBornByEveryListener sends requests to each listener of a host of either front end, on a
// connection each, which must be answered or closed, and then requires the answer to an ordinary one.
func requireBornByEveryListener(t *testing.T, requests []string) {
	t.Run("gateway", func(t *testing.T) {
		s := &soak{t: t, dir: t.TempDir(), processes: []*gatewayProcess{{}}}
		base := freePortRange(t, platformtest.PortsPerHost)
		var err error
		s.site, err = platformtest.StartSite(s.dir, platformtest.SiteConfig{Hosts: 1, Zones: 1, Shards: 1, BasePort: base})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.site.Close)
		t.Cleanup(s.killAll)
		s.startHost(0)
		if len(s.awaitServing(soakRecoveryTimeout)) > 0 {
			t.Fatal("the host does not serve")
		}
		const ready, metrics = 1, 3
		for _, port := range []int{base, base + ready, base + metrics} {
			sendRaw(t, loopbackAddress(port), requests)
			a, err := platformtest.SendRequest(http.DefaultClient, s.site.FrontAddresses[0], http.MethodGet, "/search/x", "after-"+strconv.Itoa(port), soakDeadline)
			if err != nil || a.Status != http.StatusOK {
				t.Fatalf("request after the odd ones on port %d: status %d, %v", port-base, a.Status, err)
			}
		}
	})
	t.Run("serve", func(t *testing.T) {
		c := startCluster(t)
		for _, address := range []string{c.hosts[0].front, c.hosts[0].admin} {
			sendRaw(t, address, requests)
			c.requireFullAnswer(c.hosts[0])
		}
	})
}

func sendRaw(t *testing.T, address string, requests []string) {
	t.Helper()
	for _, request := range requests {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatalf("before %q: %v", request, err)
		}
		_, _ = io.WriteString(conn, request)
		_ = conn.SetReadDeadline(time.Now().Add(gracefulStopTimeout))
		if _, err := io.Copy(io.Discard, conn); err != nil {
			t.Errorf("%q: %v", request, err)
		}
		_ = conn.Close()
	}
}
