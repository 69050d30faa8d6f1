package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"pollentack.example/pollentack/platform/platformtest"
)

const (
	storeDataHosts, storeDataZones, storeDataShards = 3, 3, 6
	storeDataMemoryMB                               = 128
	storeDataEntries                                = 160
	storeDataEntryBytes                             = 900_000
	// storeDataPageItems is the most that a page of the platform's store holds.
	storeDataPageItems = 500
	storeDataTimeout   = time.Minute
)

// storeDataRun is a run of hosts that have one processor and little memory each.
type storeDataRun struct{ *soak }

func startStoreDataRun(t *testing.T, prepare func(*platformtest.Store)) *storeDataRun {
	t.Helper()
	r := &storeDataRun{&soak{t: t, rng: rand.New(rand.NewPCG(1, 9)), dir: t.TempDir(), version: 1}}
	var err error
	r.site, err = platformtest.StartSite(r.dir, platformtest.SiteConfig{
		Hosts: storeDataHosts, Zones: storeDataZones, Shards: storeDataShards, ServiceTime: time.Millisecond, MemoryMB: storeDataMemoryMB,
		BasePort: freePortRange(t, storeDataHosts*platformtest.PortsPerHost),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.site.Close)
	r.site.Store.SetPageItems(storeDataPageItems)
	prepare(r.site.Store)
	r.hostEnv = func(int) string { return "GOMAXPROCS=1" }
	t.Cleanup(r.killAll)
	for host := range storeDataHosts {
		r.processes = append(r.processes, &gatewayProcess{})
		r.startHost(host)
	}
	return r
}

// check waits until all hosts serve, and checks that each is the process that was started and has
// stayed within its memory.
func (r *storeDataRun) check(when string) {
	r.t.Helper()
	if hosts := r.awaitServing(storeDataTimeout); len(hosts) > 0 {
		r.t.Errorf("%s: hosts %v do not serve", when, hosts)
	}
	for host, p := range r.processes {
		var peakKB int
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
		if _, field, ok := strings.Cut(string(status), "VmHWM:"); ok {
			_, err = fmt.Sscan(field, &peakKB)
		}
		if err != nil || peakKB == 0 || peakKB > storeDataMemoryMB<<10 {
			r.t.Errorf("%s: host %d has taken %d KB of memory (%v), want at most %d", when, host, peakKB, err, storeDataMemoryMB<<10)
		}
	}
}

// TestLargeEntriesOfOthersEndNoHost guards against hosts that keep what other writers store under the
// keys of targets, and end for lack of memory, again at each start.
func TestLargeEntriesOfOthersEndNoHost(t *testing.T) {
	r := startStoreDataRun(t, func(s *platformtest.Store) {
		for i := range storeDataEntries {
			s.PutRaw(fmt.Sprintf("servers/odd-%d", i), largeEntry(i))
		}
	})
	r.check("started among the entries")
	r.restart(0, syscall.SIGKILL)
	r.check("started beside others")
}

// largeEntry returns an entry that names no target, or one of a service that no route names, with
// more than is known of targets.
func largeEntry(i int) []byte {
	filler := strings.Repeat("x", storeDataEntryBytes)
	if i%2 == 0 {
		return []byte(filler)
	}
	return fmt.Appendf(nil, `{"service":"other","address":"127.0.0.1:1","zone":"zone-0","slots":1,"state":"ready","sequence":1,"more":%q}`, filler)
}
