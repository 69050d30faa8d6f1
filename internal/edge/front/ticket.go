package front

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"time"

	"pollentack.example/pollentack/internal/core/once"
)

var errTicketFormat = errors.New("the ticket is malformed")

// ticketNumbers is the size of a ticket's numbers and code; the home's name follows.
const (
	numberBytes   = 8
	ticketNumbers = 3*numberBytes + once.MACBytes
	maxHomeBytes  = 255
)

// EncodeTicket returns the text that callers keep.
func EncodeTicket(t *once.Ticket) string {
	raw := make([]byte, 0, ticketNumbers+len(t.Home))
	raw = binary.BigEndian.AppendUint64(raw, t.Incarnation)
	raw = binary.BigEndian.AppendUint64(raw, t.Serial)
	raw = binary.BigEndian.AppendUint64(raw, uint64(t.Expiry))
	raw = append(raw, t.MAC[:]...)
	raw = append(raw, t.Home...)
	return base64.RawURLEncoding.EncodeToString(raw)
}

// DecodeTicket reads what EncodeTicket wrote.
func DecodeTicket(text string) (*once.Ticket, error) {
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) <= ticketNumbers || len(raw) > ticketNumbers+maxHomeBytes {
		return nil, errTicketFormat
	}
	t := &once.Ticket{}
	t.Incarnation = binary.BigEndian.Uint64(raw)
	t.Serial = binary.BigEndian.Uint64(raw[numberBytes:])
	t.Expiry = time.Duration(binary.BigEndian.Uint64(raw[2*numberBytes:]))
	copy(t.MAC[:], raw[3*numberBytes:])
	t.Home = string(raw[ticketNumbers:])
	return t, nil
}
