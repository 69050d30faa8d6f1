package wire

import (
	"time"

	"pollentack.example/pollentack/internal/core/discovery"
	"pollentack.example/pollentack/internal/core/fleet"
	"pollentack.example/pollentack/internal/core/quarantine"
	"pollentack.example/pollentack/internal/core/relay"
	"pollentack.example/pollentack/internal/core/result"
)

// fromMember returns the protobuf message for a member.
func fromMember(m *fleet.Member) *FleetMember {
	return &FleetMember{
		Host: m.Host, Zone: m.Zone, Region: m.Region, Mesh: m.Address, Capacity: uint32(m.Capacity), Started: m.Started, Away: m.Departed,
	}
}

// toMember returns the member as the core's type.
func (x *FleetMember) toMember() fleet.Member {
	return fleet.Member{
		Host: x.GetHost(), Zone: x.GetZone(), Region: x.GetRegion(), Address: x.GetMesh(),
		Capacity: int(x.GetCapacity()), Started: x.GetStarted(), Departed: x.GetAway(),
	}
}

// FromGossipMessage returns the protobuf message for a gossip message.
func FromGossipMessage(m *fleet.Message) *Gossip {
	out := &Gossip{
		From: fromMember(&m.From), Digest: m.Digest, Groups: m.GroupDigests, Compared: m.ComparedGroups, Have: m.KnownHashes, Want: m.RequestedHashes,
		Members: make([]*FleetMember, len(m.Members)),
	}
	for i := range m.Members {
		out.Members[i] = fromMember(&m.Members[i])
	}
	return out
}

// ToMessage returns the gossip message as the core's type.
func (x *Gossip) ToMessage() *fleet.Message {
	out := &fleet.Message{
		From: x.GetFrom().toMember(), Digest: x.GetDigest(), GroupDigests: x.GetGroups(), ComparedGroups: x.GetCompared(), KnownHashes: x.GetHave(), RequestedHashes: x.GetWant(),
		Members: make([]fleet.Member, len(x.GetMembers())),
	}
	for i, m := range x.GetMembers() {
		out.Members[i] = m.toMember()
	}
	return out
}

// FromItem returns the protobuf message for a stored item.
func FromItem(it *discovery.Item) *CatalogItem {
	return &CatalogItem{Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted}
}

// FromHandoff returns the protobuf message that asks a peer to gather the shards of h.
func FromHandoff(h *relay.Handoff) *GatherCall {
	r, g := h.Request, &h.Gather
	call := &GatherCall{
		Handoff: uint64(h.ID), Id: []byte(r.ID), Method: []byte(r.Method), Host: []byte(r.Host), Target: []byte(r.Target), Body: r.Body, TraceParent: r.TraceParent,
		Route: g.Route, Services: g.Services, TopK: uint32(g.TopK), MaxAttempts: uint32(g.MaxAttempts),
		Objective: int64(g.Objective), Timeout: int64(g.Timeout), Age: int64(g.Age), Regions: g.Regions, Direct: g.Direct, Whole: g.Whole, Repeat: g.Repeat, SenderRepeats: g.SenderRepeats,
	}
	call.Headers = fromHeaders(r.Headers)
	return call
}

// ToRequest returns the request to run for the sender of the handoff. The receiver sets its
// Key.
func (x *GatherCall) ToRequest() *relay.Request {
	r := &relay.Request{
		ID: string(x.GetId()), Method: string(x.GetMethod()), Host: string(x.GetHost()), Target: string(x.GetTarget()), Body: x.GetBody(), TraceParent: x.GetTraceParent(),
		Gather: &relay.GatherSpec{
			Route: x.GetRoute(), Services: x.GetServices(), TopK: int(x.GetTopK()), MaxAttempts: int(x.GetMaxAttempts()), Whole: x.GetWhole(),
			Objective: time.Duration(x.GetObjective()), Timeout: time.Duration(x.GetTimeout()),
			Age: time.Duration(x.GetAge()), Regions: x.GetRegions(), Direct: x.GetDirect(), Repeat: x.GetRepeat(), SenderRepeats: x.GetSenderRepeats(),
		},
	}
	r.Headers = toHeaders(x.GetHeaders())
	return r
}

func fromHeaders(in []relay.Header) []*HeaderField {
	out := make([]*HeaderField, len(in))
	for i, f := range in {
		out[i] = &HeaderField{Name: []byte(f.Name), Value: []byte(f.Value)}
	}
	return out
}

func toHeaders(in []*HeaderField) []relay.Header {
	out := make([]relay.Header, len(in))
	for i, f := range in {
		out[i] = relay.Header{Name: string(f.GetName()), Value: string(f.GetValue())}
	}
	return out
}

// FromTell returns the protobuf message for what a host tells a peer about crashes.
func FromTell(t *relay.Tell) *CrashFacts {
	out := &CrashFacts{Facts: make([]*CrashFact, len(t.Facts)), Ask: t.Ask}
	for i := range t.Facts {
		f := &t.Facts[i]
		out.Facts[i] = &CrashFact{
			Fingerprint: uint64(f.Fingerprint), Crashes: fromCrashIDs(f.Crashes), Refuted: fromCrashIDs(f.Refuted),
			Alone: fromCrashIDs(f.Alone), Age: int64(f.Age),
		}
	}
	return out
}

// ToEvent returns the event for the message from a peer.
func (x *CrashFacts) ToEvent(from string) *relay.FactsReceived {
	out := &relay.FactsReceived{From: from, Facts: make([]quarantine.CrashFact, len(x.GetFacts())), Ask: x.GetAsk()}
	for i, f := range x.GetFacts() {
		out.Facts[i] = quarantine.CrashFact{
			Fingerprint: quarantine.Fingerprint(f.GetFingerprint()), Crashes: toCrashIDs(f.GetCrashes()), Refuted: toCrashIDs(f.GetRefuted()),
			Alone: toCrashIDs(f.GetAlone()), Age: time.Duration(f.GetAge()),
		}
	}
	return out
}

// FromColdNews returns the protobuf message that tells a peer which targets are cold.
func FromColdNews(n *relay.ColdNews) *ColdTargets {
	out := &ColdTargets{Targets: make([]*ColdTarget, len(n.Targets))}
	for i := range n.Targets {
		out.Targets[i] = &ColdTarget{Instance: n.Targets[i].Instance, Remaining: int64(n.Targets[i].Remaining)}
	}
	return out
}

// ToEvent returns the event for the message from a peer.
func (x *ColdTargets) ToEvent() *relay.ColdTold {
	out := &relay.ColdTold{Targets: make([]relay.ColdTarget, len(x.GetTargets()))}
	for i, t := range x.GetTargets() {
		out.Targets[i] = relay.ColdTarget{Instance: t.GetInstance(), Remaining: time.Duration(t.GetRemaining())}
	}
	return out
}

func fromCrashIDs(in []quarantine.CrashID) []uint64 {
	out := make([]uint64, len(in))
	for i, id := range in {
		out[i] = uint64(id)
	}
	return out
}

func toCrashIDs(in []uint64) []quarantine.CrashID {
	out := make([]quarantine.CrashID, len(in))
	for i, id := range in {
		out[i] = quarantine.CrashID(id)
	}
	return out
}

// FromAnswer returns the protobuf message for the answer to a handoff.
func FromAnswer(a *relay.Answer) *GatherReply {
	out := &GatherReply{Code: int32(a.Code), Body: a.Body, Spent: int64(a.Elapsed)}
	if a.Response != nil {
		out.Status, out.Body = uint32(a.Response.Status), a.Response.Body
		out.Parts = []*GatheredPart{{Proof: []byte(a.Response.Proof)}}
		out.Headers = fromHeaders(a.Response.Headers)
	}
	for _, p := range a.Parts {
		out.Parts = append(out.Parts, &GatheredPart{Shard: uint32(p.Shard), Proof: []byte(p.Proof)})
	}
	return out
}

// ToAnswer returns the answer to the handoff as the core's type. Elapsed is not set; the
// caller reads the time that the peer took from Spent.
func (x *GatherReply) ToAnswer() *relay.Answer {
	if x.GetStatus() > 0 && len(x.GetParts()) == 1 {
		reply := &relay.Response{Status: int(x.GetStatus()), Body: x.GetBody(), Proof: string(x.GetParts()[0].GetProof()), Headers: toHeaders(x.GetHeaders())}
		return &relay.Answer{Code: result.Code(x.GetCode()), Response: reply}
	}
	a := &relay.Answer{Code: result.Code(x.GetCode()), Gathered: true, Body: x.GetBody()}
	for _, p := range x.GetParts() {
		a.Parts = append(a.Parts, relay.Part{Shard: int(p.GetShard()), Proof: string(p.GetProof())})
	}
	return a
}
