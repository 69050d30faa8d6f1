package wire

import (
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/quarantine"
)

// EncodeCanaryCall returns the payload of a call that requests a lease to run a request
// body, or that reports how the run under a lease ended.
func EncodeCanaryCall(c *engine.CanaryCall) ([]byte, error) {
	return marshal(&CanaryCall{
		Fingerprint: uint64(c.Fingerprint),
		Within:      int64(c.LeaseTime),
		Lease:       c.Lease,
		End:         int32(c.Outcome),
		Victim:      uint64(c.Incarnation),
	})
}

// maxLease is the longest lease that a peer may request.
const maxLease = time.Minute

// DecodeCanaryCall returns the lease request or report of a peer. It limits LeaseTime to the
// range from 0 to maxLease.
func DecodeCanaryCall(payload []byte) (*engine.CanaryCall, error) {
	m := &CanaryCall{}
	if err := unmarshal(payload, m); err != nil {
		return nil, err
	}
	return &engine.CanaryCall{
		Fingerprint: quarantine.Fingerprint(m.GetFingerprint()),
		LeaseTime:   min(max(0, time.Duration(m.GetWithin())), maxLease),
		Lease:       m.GetLease(),
		Outcome:     quarantine.RunOutcome(m.GetEnd()),
		Incarnation: quarantine.IncarnationHash(m.GetVictim()),
	}, nil
}

// EncodeCanaryReply returns the payload of the response to a CanaryCall.
func EncodeCanaryReply(a *quarantine.LeaseAnswer) ([]byte, error) {
	return marshal(&CanaryReply{Verdict: int32(a.Verdict), Lease: a.Lease, Until: int64(a.Until)})
}

// DecodeCanaryReply returns the answer of the host that is responsible for the fingerprint.
func DecodeCanaryReply(payload []byte) (*quarantine.LeaseAnswer, error) {
	m := &CanaryReply{}
	if err := unmarshal(payload, m); err != nil {
		return nil, err
	}
	return &quarantine.LeaseAnswer{
		Verdict: quarantine.Verdict(m.GetVerdict()),
		Lease:   m.GetLease(),
		Until:   time.Duration(m.GetUntil()),
	}, nil
}
