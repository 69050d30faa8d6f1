package note

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"pollentack.example/pollentack/internal/core/release"
)

const changeNote = `[note]
number = 8
kind = change
follows = 7

[change availability-zone thies-a]
region = thies
state = out

[withdraw target licences-2]

[add snapshot licences 42/b]
shards = 2
replicas.0 = licences-1
weight.0 = 2.5
replicas.1 = licences-3, licences-4

[end]
items = 3
`

func exampleNotes(tb testing.TB) [][]byte {
	tb.Helper()
	paths, err := filepath.Glob("../../examples/*/note-*.ini")
	if err != nil || len(paths) == 0 {
		tb.Fatalf("no example notes: %v", err)
	}
	texts := make([][]byte, len(paths))
	for i, path := range paths {
		if texts[i], err = os.ReadFile(path); err != nil {
			tb.Fatal(err)
		}
	}
	return texts
}

// withoutLineNumbers returns a copy of the note without the line numbers of its items.
func withoutLineNumbers(n *release.Note) *release.Note {
	plain := *n
	plain.Items = append([]release.Item(nil), n.Items...)
	for i := range plain.Items {
		plain.Items[i].Line = 0
	}
	return &plain
}

// FuzzParse checks that the parser does not panic on any text, and that an accepted note is
// equal after Format and Parse.
func FuzzParse(f *testing.F) {
	f.Add([]byte(changeNote))
	f.Add([]byte("[note]\nnumber = 1\nkind = baseline\n[end]\nitems = 0\n"))
	f.Add([]byte("[add snapshot a 1/b]\nshards = 99999\n"))
	f.Add([]byte("[note]\nnumber=1\nkind=baseline\n[add service a.b]\nmin-coverage = NaN\n[end]\nitems=1"))
	f.Add([]byte("[note]\nnumber=1\nkind=baseline\n[add availability-zone a]\nregion = b ; c\n[end]\nitems=1"))
	f.Fuzz(func(t *testing.T, text []byte) {
		first, err := Parse("fuzz", text)
		if err != nil {
			return
		}
		second, err := Parse("again", Format(first))
		if err != nil {
			t.Fatalf("formatted note is rejected: %v\n%s", err, Format(first))
		}
		if !reflect.DeepEqual(withoutLineNumbers(first), withoutLineNumbers(second)) {
			t.Fatalf("note differs after Format and Parse:\n%s", Format(first))
		}
	})
}

// TestParseRejectsTruncatedNote checks that a note truncated at any byte is rejected, unless
// only trailing white space is missing.
func TestParseRejectsTruncatedNote(t *testing.T) {
	for _, text := range [][]byte{[]byte(changeNote), exampleNotes(t)[2]} {
		whole := bytes.TrimSpace(text)
		for at := range len(whole) {
			if _, err := Parse("truncated", whole[:at]); err == nil {
				t.Fatalf("accepted when truncated at byte %d of %d:\n%s", at, len(whole), whole[:at])
			}
		}
		if _, err := Parse("whole", whole); err != nil {
			t.Fatal(err)
		}
	}
}

func TestParseReportsFault(t *testing.T) {
	replace := func(old, next string) string { return strings.Replace(changeNote, old, next, 1) }
	tests := map[string]struct{ text, want string }{
		"too long":            {changeNote + strings.Repeat("#", MaxBytes), "n:1: note has 1048"},
		"number 0":            {replace("number = 8", "number = 0"), "n:2: [note] number: is 0"},
		"follows a later one": {replace("follows = 7", "follows = 8"), "n:4: [note] follows: is 8; allowed are numbers below"},
		"baseline withdraws":  {replace("kind = change\nfollows = 7", "kind = baseline"), "n:5: [change availability-zone thies-a] a baseline note"},
		"unknown operation":   {replace("[withdraw target", "[remove target"), "n:10: [remove target licences-2] unknown section"},
		"unknown kind":        {replace("withdraw target", "withdraw server"), "n:10: [withdraw server licences-2] unknown section"},
		"bad address":         {replace("[withdraw target licences-2]", "[change target licences-2]\naddress = l:1\navailability-zone = a\nservice = b"), "n:11: [change target licences-2] address: \"l:1\" is not an address"},
		"missing shard":       {replace("replicas.1 = licences-3, licences-4\n", ""), "n:12: [add snapshot licences 42/b] replicas.1: is required"},
		"replica twice":       {replace("licences-3, licences-4", "licences-3, licences-3"), "n:16: [add snapshot licences 42/b] replicas.1: \"licences-3\" is listed twice"},
		"weight not a number": {replace("weight.0 = 2.5", "weight.0 = NaN"), "n:15: [add snapshot licences 42/b] weight.0: \"NaN\" is not a number"},
		"missing item":        {replace("[withdraw target licences-2]\n", ""), "n:18: [end] items: is 3, but the note has 2 items"},
		"section after end":   {changeNote + "[withdraw target x]\n", "n:18: [end] is not the last section"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("n", []byte(tt.text))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("faults are\n%v\nwant %q", err, tt.want)
			}
		})
	}
}
