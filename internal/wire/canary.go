package wire

import (
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/quarantine"
)

// EncodeCanaryCall returns the payload of a question or a report.
func EncodeCanaryCall(c *engine.CanaryCall) ([]byte, error) {
	return marshal(&CanaryCall{
		Fingerprint: uint64(c.Fingerprint),
		Within:      int64(c.Within),
		Lease:       c.Lease,
		End:         int32(c.End),
		Victim:      uint64(c.Victim),
	})
}

// maxLease bounds a lease that a peer asks for.
const maxLease = time.Minute

// DecodeCanaryCall returns a peer's question or report.
func DecodeCanaryCall(payload []byte) (*engine.CanaryCall, error) {
	m := &CanaryCall{}
	if err := unmarshal(payload, m); err != nil {
		return nil, err
	}
	return &engine.CanaryCall{
		Fingerprint: quarantine.Fingerprint(m.GetFingerprint()),
		Within:      min(max(0, time.Duration(m.GetWithin())), maxLease),
		Lease:       m.GetLease(),
		End:         quarantine.End(m.GetEnd()),
		Victim:      quarantine.Victim(m.GetVictim()),
	}, nil
}

// EncodeCanaryReply returns the response to a CanaryCall.
func EncodeCanaryReply(a *quarantine.Answer) ([]byte, error) {
	return marshal(&CanaryReply{Verdict: int32(a.Verdict), Lease: a.Lease, Until: int64(a.Until)})
}

// DecodeCanaryReply returns a home's word.
func DecodeCanaryReply(payload []byte) (*quarantine.Answer, error) {
	m := &CanaryReply{}
	if err := unmarshal(payload, m); err != nil {
		return nil, err
	}
	return &quarantine.Answer{
		Verdict: quarantine.Verdict(m.GetVerdict()),
		Lease:   m.GetLease(),
		Until:   time.Duration(m.GetUntil()),
	}, nil
}
