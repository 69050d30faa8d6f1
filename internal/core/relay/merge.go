package relay

import (
	"bytes"
	"slices"
	"sort"
)

// recordBytes is the length of one record in a part; a shorter remainder is ignored.
const recordBytes = 16

// addTop adds the records of a part to top, the greatest so far in descending order, and keeps
// the k greatest. It reuses the memory of top. Most records of a late part are below all of top,
// which costs one comparison each.
func addTop(top, part []byte, k int) []byte {
	for ; len(part) >= recordBytes; part = part[recordBytes:] {
		record := part[:recordBytes]
		count := len(top) / recordBytes
		if count >= k {
			if count == 0 || bytes.Compare(record, top[(count-1)*recordBytes:]) <= 0 {
				continue
			}
			top = top[:(count-1)*recordBytes]
			count--
		}
		at := sort.Search(count, func(i int) bool { return bytes.Compare(top[i*recordBytes:(i+1)*recordBytes], record) < 0 })
		top = slices.Insert(top, at*recordBytes, record...)
	}
	return top
}
