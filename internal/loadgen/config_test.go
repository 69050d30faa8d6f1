package loadgen

import (
	"reflect"
	"strings"
	"testing"
)

func TestConfigReportsEveryError(t *testing.T) {
	_, err := ParseConfig("l", []byte("[load]\nfronts = localhost:1\nrate-per-second = 0\n[service a]\n[other]\n"))
	if err == nil {
		t.Fatal("ParseConfig accepted invalid settings")
	}
	want := []string{
		`l:2: [load] fronts: "localhost:1" is not an address`,
		"l:3: [load] rate-per-second: 0 is out of range",
		"l:4: [service a] keys: is required",
		"l:5: [other] unknown section; known are load, service NAME",
	}
	lines := strings.Split(err.Error(), "\n")
	if len(lines) != len(want) {
		t.Fatalf("errors are\n%v", err)
	}
	for i := range want {
		if !strings.HasPrefix(lines[i], want[i]) {
			t.Errorf("error is %q, want %q", lines[i], want[i])
		}
	}
}

func TestConfigParsesMix(t *testing.T) {
	c, err := ParseConfig("l", []byte("[load]\nfronts = 127.0.0.1:1, 127.0.0.1:2\n[service a]\nkeys = k1, k2\nweight = 3\n[service b]\nkeys = k3\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := []MixEntry{{Service: "a", Keys: []string{"k1", "k2"}, Weight: 3}, {Service: "b", Keys: []string{"k3"}, Weight: 1}}
	if !reflect.DeepEqual(c.Mix, want) || len(c.Fronts) != 2 || c.Queries != defaultQueries {
		t.Errorf("ParseConfig returned %+v", c)
	}
}
