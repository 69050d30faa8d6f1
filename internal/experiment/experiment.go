// Package experiment holds the measurements that the project repeats: each runs the
// real hosts over loopback against stand-ins, with its baseline in the same run, and
// compares the outcome with a bound that comes from the stated target.
package experiment

import (
	"fmt"
	"slices"
	"strings"
)

// Values are named figures; the names carry the units.
type Values map[string]any

// Outcome is what an experiment prints.
type Outcome struct {
	Experiment string `json:"experiment"`
	Seed       uint64 `json:"seed"`
	Baseline   Values `json:"baseline"`
	Result     Values `json:"result"`
	Bound      Values `json:"bound"`
	Holds      bool   `json:"holds"`
}

// Experiment is one measurement.
type Experiment struct {
	Name string
	// Summary says in a line what is measured and against what.
	Summary string
	// Run fills everything but the outcome's name and seed.
	Run func(seed uint64) (*Outcome, error)
}

var registry []Experiment

// register adds an experiment; each file of the package registers its own.
func register(e Experiment) { registry = append(registry, e) }

// All returns the experiments by name.
func All() []Experiment {
	all := slices.Clone(registry)
	slices.SortFunc(all, func(a, b Experiment) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Run runs the named experiment.
func Run(name string, seed uint64) (*Outcome, error) {
	at := slices.IndexFunc(registry, func(e Experiment) bool { return e.Name == name })
	if at < 0 {
		return nil, fmt.Errorf("experiment %q does not exist", name)
	}
	out, err := registry[at].Run(seed)
	if err != nil {
		return nil, fmt.Errorf("experiment %s: %w", name, err)
	}
	out.Experiment = name
	out.Seed = seed
	return out, nil
}
