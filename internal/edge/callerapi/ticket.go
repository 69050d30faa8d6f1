package callerapi

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"time"

	"pollentack.example/pollentack/internal/core/once"
)

var errTicketFormat = errors.New("the ticket is malformed")

const (
	ticketFieldBytes = 8
	// ticketFixedBytes is the size of the incarnation, serial, expiry and MAC of an encoded
	// ticket. The name of the home host follows.
	ticketFixedBytes = 3*ticketFieldBytes + once.MACBytes
	maxHomeBytes     = 255
)

// EncodeTicket returns the text form of a ticket, which callers receive and send back.
func EncodeTicket(t *once.Ticket) string {
	raw := make([]byte, 0, ticketFixedBytes+len(t.Home))
	raw = binary.BigEndian.AppendUint64(raw, t.Incarnation)
	raw = binary.BigEndian.AppendUint64(raw, t.Serial)
	raw = binary.BigEndian.AppendUint64(raw, uint64(t.Expiry))
	raw = append(raw, t.MAC[:]...)
	raw = append(raw, t.Home...)
	return base64.RawURLEncoding.EncodeToString(raw)
}

// DecodeTicket parses the text form of a ticket. It does not verify the MAC.
func DecodeTicket(text string) (*once.Ticket, error) {
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) <= ticketFixedBytes || len(raw) > ticketFixedBytes+maxHomeBytes {
		return nil, errTicketFormat
	}
	t := &once.Ticket{}
	t.Incarnation = binary.BigEndian.Uint64(raw)
	t.Serial = binary.BigEndian.Uint64(raw[ticketFieldBytes:])
	t.Expiry = time.Duration(binary.BigEndian.Uint64(raw[2*ticketFieldBytes:]))
	copy(t.MAC[:], raw[3*ticketFieldBytes:])
	t.Home = string(raw[ticketFixedBytes:])
	return t, nil
}
