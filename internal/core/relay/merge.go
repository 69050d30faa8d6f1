package relay

import (
	"bytes"
	"slices"
)

// recordBytes is the length of one record in a part; a shorter remainder is ignored.
const recordBytes = 16

// mergeTop returns the k greatest records of the parts in descending order. Duplicates are
// kept.
func mergeTop(parts [][]byte, k int) []byte {
	var records [][]byte
	for _, p := range parts {
		for ; len(p) >= recordBytes; p = p[recordBytes:] {
			records = append(records, p[:recordBytes])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(k, len(records))]
	return bytes.Join(records, nil)
}
