package experiment

import (
	"runtime"
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/standin"
	"pollentack.example/pollentack/internal/testbed"
)

func init() {
	register(Experiment{
		Name:    "control",
		Summary: "control-plane cost of idle hosts at 9, 27 and 81 hosts in one process, and its growth per host, target and note; baseline: the stand-ins alone",
		Run:     runControl,
	})
}

const (
	controlWindow = 4 * time.Second
	// controlSettleTime lets mesh links and connections open before the measurement window.
	controlSettleTime  = 1500 * time.Millisecond
	controlTargets     = 20
	controlManyTargets = 220
	// controlNotes notes are published during a window, one every controlNoteInterval.
	controlNotes        = 40
	controlNoteInterval = controlWindow / controlNotes
)

// Bounds of the control-plane cost of one host.
const (
	maxControlCores              = 0.028
	maxControlHeapMB             = 128
	maxControlMeshBytesPerSecond = 10_000
)

// controlCase is one measured testbed size; with 0 hosts only the stand-ins run.
type controlCase struct {
	hosts   int
	targets int
	notes   int
}

// controlCost is the control-plane cost of one host and the platform calls of all hosts.
type controlCost struct {
	// cpuCores is processor time in seconds per second.
	cpuCores               float64
	heapMB                 float64
	meshBytesPerSecond     float64
	platformCallsPerSecond float64
}

func runControl(seed uint64) (*Outcome, error) {
	cases := []controlCase{
		{hosts: 0, targets: controlTargets},
		{hosts: 9, targets: controlTargets},
		{hosts: 27, targets: controlTargets},
		{hosts: 81, targets: controlTargets},
		{hosts: 9, targets: controlManyTargets},
		{hosts: 9, targets: controlTargets, notes: controlNotes},
	}
	costs := make([]controlCost, len(cases))
	for i, c := range cases {
		var err error
		if costs[i], err = measureControl(seed, c); err != nil {
			return nil, err
		}
	}
	standInsOnly, nineHosts, manyHosts, manyTargets, withNotes := costs[0], costs[1], costs[3], costs[4], costs[5]
	out := &Outcome{
		Baseline: Values{"core_of_stand_ins": standInsOnly.cpuCores},
		Result: Values{
			"hosts_9":    costs[1].values(),
			"hosts_27":   costs[2].values(),
			"hosts_81":   costs[3].values(),
			"per_host":   slope(nineHosts, manyHosts, cases[3].hosts-cases[1].hosts),
			"per_target": slope(nineHosts, manyTargets, controlManyTargets-controlTargets),
			"per_note":   costPerNote(nineHosts, withNotes),
		},
		Bound: Values{"core_max": maxControlCores, "heap_mb_max": maxControlHeapMB, "mesh_bytes_per_second_max": maxControlMeshBytesPerSecond},
		Holds: true,
	}
	for _, c := range costs[1:4] {
		out.Holds = out.Holds && c.cpuCores <= maxControlCores && c.heapMB <= maxControlHeapMB && c.meshBytesPerSecond <= maxControlMeshBytesPerSecond
	}
	return out, nil
}

func (c controlCost) values() Values {
	return Values{"core": c.cpuCores, "heap_mb": c.heapMB, "mesh_bytes_per_second": c.meshBytesPerSecond, "platform_calls_per_second": c.platformCallsPerSecond}
}

// slope returns the growth of one host's cost per additional unit.
func slope(from, to controlCost, units int) Values {
	n := float64(units)
	return Values{
		"core":                  (to.cpuCores - from.cpuCores) / n,
		"heap_bytes":            (to.heapMB - from.heapMB) * 1e6 / n,
		"mesh_bytes_per_second": (to.meshBytesPerSecond - from.meshBytesPerSecond) / n,
	}
}

// costPerNote returns the cost of one note for one host, and the platform calls of all
// hosts for it.
func costPerNote(idle, busy controlCost) Values {
	n := float64(controlNotes) / controlWindow.Seconds()
	return Values{
		"core_seconds":   (busy.cpuCores - idle.cpuCores) / n,
		"mesh_bytes":     (busy.meshBytesPerSecond - idle.meshBytesPerSecond) / n,
		"platform_calls": (busy.platformCallsPerSecond - idle.platformCallsPerSecond) / n,
	}
}

func measureControl(seed uint64, c controlCase) (controlCost, error) {
	heapBefore := liveHeapBytes()
	bed, err := testbed.Start(controlLayout(seed, c), testbed.Options{})
	if err != nil {
		return controlCost{}, err
	}
	defer bed.Stop()
	time.Sleep(controlSettleTime)
	cpuBefore, bytesBefore, callsBefore, start := processCPUTime().Seconds(), totalMeshBytes(bed), bed.Platform.Calls(), time.Now()
	for i := range c.notes {
		bed.PublishChange(zoneToggleItem(bed, i))
		time.Sleep(controlNoteInterval)
	}
	time.Sleep(controlWindow - time.Since(start))
	seconds, hosts := time.Since(start).Seconds(), float64(max(1, c.hosts))
	return controlCost{
		cpuCores:               (processCPUTime().Seconds() - cpuBefore) / seconds / hosts,
		heapMB:                 float64(liveHeapBytes()-heapBefore) / 1e6 / hosts,
		meshBytesPerSecond:     float64(totalMeshBytes(bed)-bytesBefore) / seconds / hosts,
		platformCallsPerSecond: float64(bed.Platform.Calls()-callsBefore) / seconds,
	}, nil
}

func controlLayout(seed uint64, c controlCase) testbed.Layout {
	return testbed.Layout{
		Seed:  seed,
		Zones: testbed.ThreeZones(),
		Hosts: c.hosts,
		Services: []testbed.ServiceLayout{{
			Name:           "archive",
			Shards:         c.targets / 2,
			Replicas:       2,
			MaxConnections: 90,
			Policy:         release.Policy{Deadline: time.Second},
			Behavior:       standin.Behavior{Latency: time.Millisecond, Slots: 4, ColdBudget: 1},
		}},
		Callers:    10,
		CallerRate: 1000,
	}
}

// liveHeapBytes returns the size of the heap after garbage collection.
func liveHeapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// totalMeshBytes returns the bytes that all hosts have sent and read over the mesh.
func totalMeshBytes(bed *testbed.Testbed) uint64 {
	var sum uint64
	for _, n := range bed.Nodes {
		if m := n.Status().Mesh; m != nil {
			sum += m.BytesSent + m.BytesRead
		}
	}
	return sum
}
