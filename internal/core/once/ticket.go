// Package once manages the tickets and outcomes of requests that run at most once.
//
// A ticket has one home, which is one incarnation of a host. Only that process, or the one
// successor to which it handed the record over, may run the request. For each presented
// ticket a Table decides whether to run the request, wait for the run in progress, replay
// the stored outcome or refuse.
//
// The invariant is that a record leaves the unused status exactly once and its request runs
// only on that transition. The request of a ticket without a record never runs. Tickets
// expire by the monotonic clock, so that a step of the wall clock cannot make an expired
// ticket valid again. A Table has no lock and must be used by a single goroutine.
package once

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// MACBytes is the size in bytes of a ticket's message authentication code, and of the
// SHA-256 of a request body.
const MACBytes = sha256.Size

// Ref identifies a ticket uniquely among all hosts and incarnations.
type Ref struct {
	Home        string
	Incarnation uint64
	Serial      uint64
}

// Ticket permits one run of one request. Its MAC also covers the service and the caller,
// which the ticket does not contain and every request states again.
type Ticket struct {
	Ref
	// Expiry is on the home's wall clock. It only informs callers; the Table does not use
	// it to expire the ticket.
	Expiry time.Duration
	MAC    [MACBytes]byte
}

// sign returns the HMAC-SHA256 of a ticket for a service and a caller.
func sign(key []byte, t *Ticket, service, caller string) [MACBytes]byte {
	mac := hmac.New(sha256.New, key)
	var number [8]byte
	for _, field := range []string{t.Home, service, caller} {
		binary.BigEndian.PutUint64(number[:], uint64(len(field)))
		mac.Write(number[:])
		mac.Write([]byte(field))
	}
	for _, n := range []uint64{t.Incarnation, t.Serial, uint64(t.Expiry)} {
		binary.BigEndian.PutUint64(number[:], n)
		mac.Write(number[:])
	}
	return [MACBytes]byte(mac.Sum(nil))
}
