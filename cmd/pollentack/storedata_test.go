package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"pollentack.example/pollentack/platform/platformtest"
)

// TestLargeEntriesOfOthersEndNoHost guards against hosts that keep what other writers store under the
// keys of targets, and end for lack of memory, again at each start.
func TestLargeEntriesOfOthersEndNoHost(t *testing.T) {
	const hosts, memoryMB, entries, entryBytes, pageItems = 3, 128, 160, 900_000, 500
	s := &soak{t: t, rng: rand.New(rand.NewPCG(1, 9)), dir: t.TempDir(), version: 1, hostEnv: func(int) string { return "GOMAXPROCS=1" }}
	var err error
	s.site, err = platformtest.StartSite(s.dir, platformtest.SiteConfig{
		Hosts: hosts, Zones: 3, Shards: 6, MemoryMB: memoryMB, BasePort: freePortRange(t, hosts*platformtest.PortsPerHost),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.site.Close)
	s.site.Store.SetPageItems(pageItems)
	unreadable := bytes.Repeat([]byte("x"), entryBytes)
	unnamed := fmt.Appendf(nil, `{"service":"other","address":"127.0.0.1:1","zone":"zone-0","slots":1,"state":"ready","sequence":1,"more":%q}`, unreadable)
	for i := range entries {
		s.site.Store.PutRaw(fmt.Sprintf("servers/odd-%d", i), [][]byte{unreadable, unnamed}[i%2])
	}
	t.Cleanup(s.killAll)
	for host := range hosts {
		s.processes = append(s.processes, &gatewayProcess{})
		s.startHost(host)
	}
	check := func(when string) {
		if silent := s.awaitServing(time.Minute); len(silent) > 0 {
			t.Errorf("%s: hosts %v do not serve", when, silent)
		}
		for host, p := range s.processes {
			var peakKB int
			status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
			if _, field, ok := strings.Cut(string(status), "VmHWM:"); ok {
				_, err = fmt.Sscan(field, &peakKB)
			}
			if err != nil || peakKB == 0 || peakKB > memoryMB<<10 {
				t.Errorf("%s: host %d has taken %d KB of memory (%v), want at most %d", when, host, peakKB, err, memoryMB<<10)
			}
		}
	}
	check("started among the entries")
	s.restart(0, syscall.SIGKILL)
	check("started beside others")
}
