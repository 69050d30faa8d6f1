package release

import (
	"reflect"
	"testing"
)

func planState(t *testing.T) *State {
	t.Helper()
	caller := func(name string, key byte, services ...string) Item {
		c := &Caller{Name: name, KeyHash: [32]byte{key}, Services: map[string]bool{}}
		for _, s := range services {
			c.Services[s] = true
		}
		return Item{Op: Add, Caller: c}
	}
	note := &Note{Number: 1, Baseline: true, Items: []Item{
		{Op: Add, Zone: &Zone{Name: "a", Region: "r"}},
		{Op: Add, Zone: &Zone{Name: "b", Region: "r"}},
		{Op: Add, Service: &Service{Name: "s"}},
		{Op: Add, Target: &Target{Name: "t1", Zone: "a", Service: "s"}},
		{Op: Add, Target: &Target{Name: "t2", Zone: "b", Service: "s"}},
		{Op: Add, Target: &Target{Name: "idle", Zone: "a", Service: "s"}},
		{Op: Add, Snapshot: &Snapshot{Service: "s", Version: 1, Layout: "a", Shards: []Shard{{Replicas: []string{"t1", "t2"}}, {Replicas: []string{"t2"}}}}},
		caller("c1", 1, "s"),
		caller("c2", 2, "s"),
	}}
	state, faults := Apply(nil, note)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return state
}

func TestPlanListsGainsAndLosses(t *testing.T) {
	before := planState(t)
	after, faults := Apply(before, &Note{Number: 2, Follows: 1, Items: []Item{
		{Op: Change, Zone: &Zone{Name: "b", Region: "r", OutOfService: true}},
		{Op: Add, Snapshot: &Snapshot{Service: "s", Version: 2, Layout: "a", Shards: []Shard{{Replicas: []string{"idle"}}}}},
		{Op: Withdraw, Caller: &Caller{Name: "c1"}},
		{Op: Change, Caller: &Caller{Name: "c2", KeyHash: [32]byte{9}, Services: map[string]bool{"s": true}}},
	}})
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	want := &Plan{
		From: 1, To: 2,
		TargetsGaining: []PlanEntry{{"idle", "before: holds no shard of any snapshot"}},
		TargetsLosing:  []PlanEntry{{"t2", "availability zone b is out"}},
		CallersGaining: []PlanEntry{},
		CallersLosing:  []PlanEntry{{"c1", "access to s"}, {"c2", "access with its old key"}},
		ShardsUnserved: []PlanEntry{{"snapshot s 1/a shard 1", "no replica gets work"}},
	}
	if got := NewPlan(before, after); !reflect.DeepEqual(got, want) {
		t.Errorf("plan is\n%+v\nwant\n%+v", got, want)
	}
}

// TestFaultsReportLineItemAndKey checks that a faulty note does not change the state, and
// that each fault has the line, item and key at which it occurs.
func TestFaultsReportLineItemAndKey(t *testing.T) {
	tests := map[string]struct {
		items []Item
		want  []Fault
	}{
		"unknown service and zone": {
			[]Item{{Op: Add, Line: 5, Target: &Target{Name: "t3", Zone: "x", Service: "y"}}},
			[]Fault{
				{5, "target t3", "service", `names service "y", which is not in force`},
				{5, "target t3", "availability-zone", `names availability-zone "x", which is not in force`},
			},
		},
		"withdrawn while referenced": {
			[]Item{{Op: Withdraw, Line: 7, Target: &Target{Name: "t1"}}},
			[]Fault{{7, "snapshot s 1/a", "replicas.0", `names target "t1", which is not in force`}},
		},
		"added twice": {
			[]Item{{Op: Add, Line: 4, Zone: &Zone{Name: "a", Region: "r"}}},
			[]Fault{{4, "availability-zone a", "", "is added but already in force"}},
		},
		"withdrawn unknown": {
			[]Item{{Op: Withdraw, Line: 4, Caller: &Caller{Name: "c9"}}},
			[]Fault{{4, "caller c9", "", "is not in force"}},
		},
		"one key for two callers": {
			[]Item{{Op: Add, Line: 4, Caller: &Caller{Name: "c9", KeyHash: [32]byte{1}}}},
			[]Fault{{4, "caller c9", "key-sha256", `is the key of caller "c1"`}},
		},
		"unknown service of a caller": {
			[]Item{{Op: Add, Line: 4, Caller: &Caller{Name: "c9", Services: map[string]bool{"y": true}}}},
			[]Fault{{4, "caller c9", "services", `names service "y", which is not in force`}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			before := planState(t)
			next, faults := Apply(before, &Note{Number: 2, Follows: 1, Items: tt.items})
			if next != nil || !reflect.DeepEqual(faults, tt.want) {
				t.Errorf("faults are\n%+v\nwant\n%+v", faults, tt.want)
			}
			if !reflect.DeepEqual(before, planState(t)) {
				t.Error("the refused note changed the state")
			}
		})
	}
}
