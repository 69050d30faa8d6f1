package release

import (
	"crypto/sha256"
	"fmt"
	"testing"
)

func callersNote(n int) *Note {
	note := &Note{Number: 1, Baseline: true}
	for i := range n {
		name := fmt.Sprintf("caller-%d", i)
		note.Items = append(note.Items, Item{Op: Add, Caller: &Caller{Name: name, KeyHash: sha256.Sum256([]byte(name))}})
	}
	return note
}

// TestCallerByKeyHash checks that a key resolves to its caller only, and no longer once the
// caller is withdrawn.
func TestCallerByKeyHash(t *testing.T) {
	s, faults := Apply(nil, callersNote(1000))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	for _, name := range []string{"caller-0", "caller-517", "caller-999"} {
		if c := s.CallerByKeyHash(sha256.Sum256([]byte(name))); c == nil || c.Name != name {
			t.Errorf("key of %s resolves to %+v", name, c)
		}
	}
	if c := s.CallerByKeyHash(sha256.Sum256([]byte("caller-1000"))); c != nil {
		t.Errorf("unknown key resolves to %+v", c)
	}
	next, faults := Apply(s, &Note{Number: 2, Follows: 1, Items: []Item{{Op: Withdraw, Caller: &Caller{Name: "caller-517"}}}})
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if c := next.CallerByKeyHash(sha256.Sum256([]byte("caller-517"))); c != nil {
		t.Errorf("key of a withdrawn caller resolves to %+v", c)
	}
}
