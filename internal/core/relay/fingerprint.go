package relay

import (
	"github.com/cespare/xxhash/v2"

	"pollentack.example/pollentack/internal/core/quarantine"
)

// fingerprintOf returns the fingerprint of a request: of its method, host, request target and body.
// It is the same whoever sends the request, and on every host.
func fingerprintOf(rq *Request) quarantine.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{rq.Method, rq.Host, rq.Target} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(rq.Body)
	return quarantine.Fingerprint(d.Sum64())
}
