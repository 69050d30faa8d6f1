package relay

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// fingerprint identifies what a request asks for, whoever sends it and however often.
type fingerprint uint64

// fingerprintOf returns the fingerprint of a request: of its method, host, request target and body.
func fingerprintOf(rq *Request) fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{rq.Method, rq.Host, rq.Target} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(rq.Body)
	return fingerprint(d.Sum64())
}

// String returns the fingerprint as it appears in logs.
func (f fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }
