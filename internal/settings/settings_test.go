package settings

import (
	"errors"
	"strings"
	"testing"

	"pollentack.example/pollentack/internal/inifile"
)

const validSettings = `[host]
name = host-1
availability-zone = dakar-a
[listen]
front = 127.0.0.1:7310
admin = 127.0.0.1:7311
[platform]
address = 127.0.0.1:7400
`

func TestMissingKeysUseDefaults(t *testing.T) {
	s, err := Parse("test.ini", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Limits != Default().Limits || s.Limits.Queries == 0 {
		t.Errorf("limits are %+v, want the defaults %+v", s.Limits, Default().Limits)
	}
}

func TestParseReportsEveryFault(t *testing.T) {
	replace := func(old, next string) string { return strings.Replace(validSettings, old, next, 1) }
	tests := map[string]struct {
		text string
		want []string
	}{
		"unknown section":          {validSettings + "[color]\n", []string{"test.ini:9: [color] unknown section; known are host, listen"}},
		"unknown key":              {validSettings + "colour = red\n", []string{"test.ini:9: [platform] colour: unknown key; known are address"}},
		"repeated key":             {validSettings + "address = 127.0.0.1:7401\n", []string{"test.ini:9: [platform] address: key repeats the one on line 8"}},
		"repeated section":         {validSettings + "[host]\n", []string{"test.ini:9: [host] section repeats the one on line 1"}},
		"no port":                  {replace("7310", ""), []string{"test.ini:5: [listen] front: \"127.0.0.1:\" is not an address"}},
		"host name as IP":          {replace("127.0.0.1:7310", "localhost:7310"), []string{"test.ini:5: [listen] front: \"localhost:7310\" is not an address"}},
		"one address twice":        {replace("7311", "7310"), []string{"test.ini:6: [listen] admin: repeats the address of front"}},
		"bad name":                 {replace("host-1", "host 1"), []string{"test.ini:2: [host] name: \"host 1\" is not a name; allowed are"}},
		"no unit":                  {validSettings + "poll = 10\n", []string{"test.ini:9: [platform] poll: \"10\" is not a duration with a unit"}},
		"out of range":             {validSettings + "poll = 2m\n", []string{"test.ini:9: [platform] poll: 2m0s is out of range; allowed are 100ms to 1m0s"}},
		"exporter without address": {validSettings + "[trace]\nexporter = otlp\n", []string{"test.ini:9: [trace] address: is required; allowed is IP:PORT"}},
		"no value":                 {validSettings + "poll\n", []string{"test.ini:9: \"poll\" is neither a section nor a key"}},
		"empty file": {"", []string{
			"test.ini:1: [host] name: is required",
			"test.ini:1: [host] availability-zone: is required",
			"test.ini:1: [listen] front: is required",
			"test.ini:1: [listen] admin: is required",
			"test.ini:1: [platform] address: is required",
		}},
		"by line": {validSettings + "[limits]\nqueries = 0\nbody-bytes = 1\n[host]\n", []string{
			"test.ini:10: [limits] queries: 0 is out of range; allowed are 1 to 1000000",
			"test.ini:11: [limits] body-bytes: 1 is out of range",
			"test.ini:12: [host] section repeats",
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("test.ini", []byte(tt.text))
			var faults inifile.Faults
			if !errors.As(err, &faults) {
				t.Fatalf("error is %v, want faults", err)
			}
			if len(faults) != len(tt.want) {
				t.Fatalf("%d faults, want %d:\n%v", len(faults), len(tt.want), err)
			}
			for i, want := range tt.want {
				if got := faults[i].String(); !strings.HasPrefix(got, want) {
					t.Errorf("fault %d is %q, want %q", i, got, want)
				}
			}
		})
	}
}

// TestFaultOrderIsDeterministic guards against faults of missing sections in the random
// order of map iteration.
func TestFaultOrderIsDeterministic(t *testing.T) {
	_, first := Parse("test.ini", nil)
	for range 50 {
		if _, err := Parse("test.ini", nil); err.Error() != first.Error() {
			t.Fatalf("faults differ between two calls:\n%v\n\n%v", first, err)
		}
	}
}
