package wire

import (
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/membership"
)

// FromIncarnation returns the protobuf message for an incarnation.
func FromIncarnation(i membership.Incarnation) *Incarnation {
	return &Incarnation{Started: i.Started, Nonce: i.Nonce}
}

// ToCore returns the incarnation as the core's type. A nil message yields the zero
// incarnation.
func (x *Incarnation) ToCore() membership.Incarnation {
	return membership.Incarnation{Started: x.GetStarted(), Nonce: x.GetNonce()}
}

// FromHeartbeat returns the protobuf message for a heartbeat.
func FromHeartbeat(h *membership.Heartbeat) *Heartbeat {
	m := &Heartbeat{
		Sequence:  h.Sequence,
		Echo:      h.EchoedSequence,
		Note:      h.NoteNumber,
		FactsHash: h.Hash,
		From:      h.From,
		UpTo:      h.UpTo,
		Merged:    h.MergedUpTo,
		Leaving:   h.Leaving,
		Ask:       h.RequestReply,
	}
	for _, f := range h.TargetFacts {
		m.Facts = append(m.Facts, &TargetFact{
			Target:      f.Target,
			Incarnation: f.Incarnation,
			Cold:        f.Cold,
			Level:       f.WarmUpLevel,
			Leaving:     f.Leaving,
		})
	}
	for _, c := range h.QuarantineFacts {
		m.Convictions = append(m.Convictions, &Conviction{Fingerprint: c.Fingerprint, Until: int64(c.QuarantinedUntil), Suspect: int64(c.SuspectedUntil)})
	}
	return m
}

// ToCore returns the heartbeat as the core's type.
func (x *Heartbeat) ToCore() *membership.Heartbeat {
	h := &membership.Heartbeat{
		Sequence:       x.GetSequence(),
		EchoedSequence: x.GetEcho(),
		NoteNumber:     x.GetNote(),
		Hash:           x.GetFactsHash(),
		From:           x.GetFrom(),
		UpTo:           x.GetUpTo(),
		MergedUpTo:     x.GetMerged(),
		Leaving:        x.GetLeaving(),
		RequestReply:   x.GetAsk(),
	}
	for _, f := range x.GetFacts() {
		h.TargetFacts = append(h.TargetFacts, engine.TargetFact{
			Target:      f.GetTarget(),
			Incarnation: f.GetIncarnation(),
			Cold:        f.GetCold(),
			WarmUpLevel: f.GetLevel(),
			Leaving:     f.GetLeaving(),
		})
	}
	for _, c := range x.GetConvictions() {
		h.QuarantineFacts = append(h.QuarantineFacts, engine.QuarantineFact{
			Fingerprint:      c.GetFingerprint(),
			QuarantinedUntil: time.Duration(c.GetUntil()),
			SuspectedUntil:   time.Duration(c.GetSuspect()),
		})
	}
	return h
}
