package target

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that all runs test the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "4")
	setDefault("rapid.checks", "500")
	os.Exit(m.Run())
}

// setDefault sets a flag unless the command line changed it.
func setDefault(name, value string) {
	if f := flag.Lookup(name); f.Value.String() == f.DefValue {
		_ = f.Value.Set(value)
	}
}
