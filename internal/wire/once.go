package wire

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/once"
	"pollentack.example/pollentack/internal/core/result"
)

// EncodeOnceCall returns the payload that forwards an at-most-once request to a peer.
func EncodeOnceCall(r *engine.OnceRequest) ([]byte, error) {
	return marshal(&OnceCall{
		Ticket:      fromTicket(r.Ticket),
		KeyHash:     r.KeyHash[:],
		Service:     r.Service,
		Body:        r.Body,
		Timeout:     int64(r.Timeout),
		TraceParent: r.TraceParent,
	})
}

// DecodeOnceCall returns the at-most-once request that a peer forwards.
func DecodeOnceCall(payload []byte) (*engine.OnceRequest, error) {
	m := &OnceCall{}
	if err := unmarshal(payload, m); err != nil {
		return nil, err
	}
	ticket, err := toTicket(m.GetTicket())
	if err != nil {
		return nil, err
	}
	r := &engine.OnceRequest{
		Service:     m.GetService(),
		Body:        m.GetBody(),
		Ticket:      ticket,
		Timeout:     max(0, time.Duration(m.GetTimeout())),
		TraceParent: m.GetTraceParent(),
		Forwarded:   true,
	}
	if err := copyExactly(r.KeyHash[:], m.GetKeyHash(), "key hash"); err != nil {
		return nil, err
	}
	return r, nil
}

// EncodeOnceReply returns the payload of the response to a forwarded request or to a
// handover chunk.
func EncodeOnceReply(a *engine.OnceAnswer) ([]byte, error) {
	return marshal(&OnceReply{Code: int32(a.Code), Detail: a.Detail, Target: a.Target, Output: a.Output, NotHeld: a.NotHeld})
}

// DecodeOnceReply returns the answer in a peer's response.
func DecodeOnceReply(payload []byte) (*engine.OnceAnswer, error) {
	m := &OnceReply{}
	if err := unmarshal(payload, m); err != nil {
		return nil, err
	}
	code := result.Code(m.GetCode())
	if code.Info().Name == "" {
		return nil, fmt.Errorf("unknown result code %d", code)
	}
	return &engine.OnceAnswer{Code: code, Detail: m.GetDetail(), Target: m.GetTarget(), Output: m.GetOutput(), NotHeld: m.GetNotHeld()}, nil
}

// EncodeHandoverChunk returns the payload that hands a chunk of the ticket table to a peer.
func EncodeHandoverChunk(c *once.HandoverChunk) ([]byte, error) {
	m := &HandoverChunk{Home: c.Home, Sender: c.SenderIncarnation, Number: c.Number}
	for i := range c.Records {
		rec := &c.Records[i]
		o := &rec.Outcome
		m.Records = append(m.Records, &OnceRecord{
			Ticket:    fromTicket(&rec.Ticket),
			Service:   rec.Service,
			Caller:    rec.Caller,
			Remaining: int64(rec.Remaining),
			Used:      rec.Used,
			Body:      rec.Body[:],
			Outcome:   &OnceReply{Code: int32(o.Code), Detail: o.Detail, Target: o.Target, Output: o.Output},
		})
	}
	return marshal(m)
}

// DecodeHandoverChunk returns the chunk of the ticket table that a peer hands over.
func DecodeHandoverChunk(payload []byte) (*once.HandoverChunk, error) {
	m := &HandoverChunk{}
	if err := unmarshal(payload, m); err != nil {
		return nil, err
	}
	c := &once.HandoverChunk{Home: m.GetHome(), SenderIncarnation: m.GetSender(), Number: m.GetNumber()}
	for _, r := range m.GetRecords() {
		ticket, err := toTicket(r.GetTicket())
		if err != nil {
			return nil, err
		}
		o := r.GetOutcome()
		rec := once.Record{
			Ticket:    *ticket,
			Service:   r.GetService(),
			Caller:    r.GetCaller(),
			Remaining: max(0, time.Duration(r.GetRemaining())),
			Used:      r.GetUsed(),
			Outcome:   once.Outcome{Code: result.Code(o.GetCode()), Detail: o.GetDetail(), Target: o.GetTarget(), Output: o.GetOutput()},
		}
		if err := copyExactly(rec.Body[:], r.GetBody(), "body hash"); err != nil {
			return nil, err
		}
		c.Records = append(c.Records, rec)
	}
	return c, nil
}

func fromTicket(t *once.Ticket) *Ticket {
	return &Ticket{Home: t.Home, Incarnation: t.Incarnation, Serial: t.Serial, Expiry: int64(t.Expiry), Mac: t.MAC[:]}
}

func toTicket(m *Ticket) (*once.Ticket, error) {
	t := &once.Ticket{
		Ref:    once.Ref{Home: m.GetHome(), Incarnation: m.GetIncarnation(), Serial: m.GetSerial()},
		Expiry: time.Duration(m.GetExpiry()),
	}
	if err := copyExactly(t.MAC[:], m.GetMac(), "ticket MAC"); err != nil {
		return nil, err
	}
	return t, nil
}

// copyExactly copies a field of fixed length. It fails if the field is shorter or longer.
func copyExactly(dst, field []byte, name string) error {
	if len(field) != len(dst) {
		return fmt.Errorf("%s has %d bytes, want %d", name, len(field), len(dst))
	}
	copy(dst, field)
	return nil
}

func marshal(m proto.Message) ([]byte, error) {
	payload, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", m.ProtoReflect().Descriptor().Name(), err)
	}
	return payload, nil
}

func unmarshal(payload []byte, m proto.Message) error {
	if err := proto.Unmarshal(payload, m); err != nil {
		return fmt.Errorf("decode %s: %w", m.ProtoReflect().Descriptor().Name(), err)
	}
	return nil
}
