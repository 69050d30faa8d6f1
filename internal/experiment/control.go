package experiment

import (
	"runtime"
	"syscall"
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/standin"
	"pollentack.example/pollentack/internal/testbed"
)

func init() {
	register(Experiment{
		Name:    "control",
		Summary: "control work of idle hosts at 9, 27 and 81 hosts in one process, with slopes; baseline: the stand-ins alone",
		Run:     runControl,
	})
}

const (
	controlWindow = 4 * time.Second
	// controlSettle lets links form and connections open before a window.
	controlSettle     = 1500 * time.Millisecond
	controlTargets    = 20
	controlMoreTarget = 220
	// controlNotes are published one by one during a window, controlNoteGap apart.
	controlNotes   = 40
	controlNoteGap = controlWindow / controlNotes
)

// Bounds of control work for one host.
const (
	maxControlCore  = 0.028
	maxControlHeap  = 128
	maxControlBytes = 10_000
)

// controlCase is one size that is measured.
type controlCase struct {
	hosts   int
	targets int
	notes   int
}

// controlCost is the control work of one host, and the platform's load by all.
type controlCost struct {
	core      float64
	heapMB    float64
	meshBytes float64
	calls     float64
}

func runControl(seed uint64) (*Outcome, error) {
	cases := []controlCase{
		{hosts: 0, targets: controlTargets},
		{hosts: 9, targets: controlTargets},
		{hosts: 27, targets: controlTargets},
		{hosts: 81, targets: controlTargets},
		{hosts: 9, targets: controlMoreTarget},
		{hosts: 9, targets: controlTargets, notes: controlNotes},
	}
	costs := make([]controlCost, len(cases))
	for i, c := range cases {
		var err error
		if costs[i], err = measureControl(seed, c); err != nil {
			return nil, err
		}
	}
	alone, nine, many, targets, notes := costs[0], costs[1], costs[3], costs[4], costs[5]
	out := &Outcome{
		Baseline: Values{"core_of_stand_ins": alone.core},
		Result: Values{
			"hosts_9":    costs[1].values(),
			"hosts_27":   costs[2].values(),
			"hosts_81":   costs[3].values(),
			"per_host":   slope(nine, many, cases[3].hosts-cases[1].hosts),
			"per_target": slope(nine, targets, controlMoreTarget-controlTargets),
			"per_note":   perNote(nine, notes),
		},
		Bound: Values{"core_max": maxControlCore, "heap_mb_max": maxControlHeap, "mesh_bytes_per_second_max": maxControlBytes},
		Holds: true,
	}
	for _, c := range costs[1:4] {
		out.Holds = out.Holds && c.core <= maxControlCore && c.heapMB <= maxControlHeap && c.meshBytes <= maxControlBytes
	}
	return out, nil
}

func (c controlCost) values() Values {
	return Values{"core": c.core, "heap_mb": c.heapMB, "mesh_bytes_per_second": c.meshBytes, "platform_calls_per_second": c.calls}
}

// slope is the growth of one host's cost for each further unit.
func slope(from, to controlCost, units int) Values {
	n := float64(units)
	return Values{
		"core":                  (to.core - from.core) / n,
		"heap_bytes":            (to.heapMB - from.heapMB) * 1e6 / n,
		"mesh_bytes_per_second": (to.meshBytes - from.meshBytes) / n,
	}
}

// perNote is what one note costs one host, and the platform.
func perNote(idle, busy controlCost) Values {
	n := float64(controlNotes) / controlWindow.Seconds()
	return Values{
		"core_seconds":   (busy.core - idle.core) / n,
		"mesh_bytes":     (busy.meshBytes - idle.meshBytes) / n,
		"platform_calls": (busy.calls - idle.calls) / n,
	}
}

func measureControl(seed uint64, c controlCase) (controlCost, error) {
	before := heapBytes()
	bed, err := testbed.Start(controlLayout(seed, c), testbed.Options{})
	if err != nil {
		return controlCost{}, err
	}
	defer bed.Stop()
	time.Sleep(controlSettle)
	core, bytes, calls, began := coreSeconds(), meshBytes(bed), bed.Platform.Calls(), time.Now()
	for i := range c.notes {
		bed.Change(toggledZone(bed, i))
		time.Sleep(controlNoteGap)
	}
	time.Sleep(controlWindow - time.Since(began))
	seconds, hosts := time.Since(began).Seconds(), float64(max(1, c.hosts))
	return controlCost{
		core:      (coreSeconds() - core) / seconds / hosts,
		heapMB:    float64(heapBytes()-before) / 1e6 / hosts,
		meshBytes: float64(meshBytes(bed)-bytes) / seconds / hosts,
		calls:     float64(bed.Platform.Calls()-calls) / seconds,
	}, nil
}

func controlLayout(seed uint64, c controlCase) testbed.Layout {
	return testbed.Layout{
		Seed:  seed,
		Zones: testbed.ThreeZones(),
		Hosts: c.hosts,
		Services: []testbed.ServiceLayout{{
			Name:        "archive",
			Shards:      c.targets / 2,
			Replicas:    2,
			Connections: 90,
			Policy:      release.Policy{Deadline: time.Second},
			Behaviour:   standin.Behaviour{Latency: time.Millisecond, Slots: 4, ColdBudget: 1},
		}},
		Callers:    10,
		CallerRate: 1000,
	}
}

// coreSeconds is the processor time of the process so far.
func coreSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e9
}

// heapBytes is the live heap after a collection.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// meshBytes is what the hosts have sent to and read from each other.
func meshBytes(bed *testbed.Testbed) uint64 {
	var sum uint64
	for _, n := range bed.Nodes {
		if m := n.Status().Mesh; m != nil {
			sum += m.BytesSent + m.BytesRead
		}
	}
	return sum
}
