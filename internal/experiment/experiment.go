// Package experiment holds repeatable measurements. Each runs real hosts against stand-in
// targets and a stand-in platform over loopback, measures a baseline in the same run, and
// compares the result with the bound that the requirements set.
package experiment

import (
	"fmt"
	"slices"
	"strings"
)

// Values maps names to measured values; the names include the units.
type Values map[string]any

// Outcome is the result of an experiment with its baseline and bound.
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
	// Summary describes in one line the measurement and its baseline.
	Summary string
	// Run performs the measurement. It leaves Experiment and Seed of the outcome unset.
	Run func(seed uint64) (*Outcome, error)
}

var registry []Experiment

// register adds an experiment; each file of the package registers its own.
func register(e Experiment) { registry = append(registry, e) }

// All returns the experiments sorted by name.
func All() []Experiment {
	all := slices.Clone(registry)
	slices.SortFunc(all, func(a, b Experiment) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Run runs the named experiment; it returns an error if there is none of this name.
func Run(name string, seed uint64) (*Outcome, error) {
	index := slices.IndexFunc(registry, func(e Experiment) bool { return e.Name == name })
	if index < 0 {
		return nil, fmt.Errorf("unknown experiment %q", name)
	}
	out, err := registry[index].Run(seed)
	if err != nil {
		return nil, fmt.Errorf("experiment %s: %w", name, err)
	}
	out.Experiment = name
	out.Seed = seed
	return out, nil
}
