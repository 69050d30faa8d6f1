package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"

	"pollentack.example/pollentack/internal/core/membership"
	"pollentack.example/pollentack/internal/edge/mesh"
	"pollentack.example/pollentack/internal/wire"
)

const (
	// crowdPeers is the number of peers that each open peerStreams streams.
	crowdPeers  = 4
	peerStreams = 256
	// streamWindow is the number of bytes that a stream takes before they are read.
	streamWindow = 256 << 10
	// pingBytes is the size of a ping, peerPings the number that a peer sends without reading answers.
	pingBytes = 12
	peerPings = 1 << 20
)

// misuseControl has a crowd of strangers misuse the listener for peers, and verifies the process
// and that a peer is still answered.
func misuseControl(t *testing.T, peers int, send func(c *crowd, conn net.Conn, peer int)) {
	t.Helper()
	c := startCrowd(t)
	client, err := mesh.Start(mesh.Options{
		Host: "another-host", Zone: "zone-0", Incarnation: membership.Incarnation{Started: 1, Nonce: 1}, Listen: "127.0.0.1:0",
		Insecure: true, Log: zerolog.Nop(), Emit: func(membership.Event) bool { return true },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Stop()
	c.join(peers, c.site.PeerAddresses[0], func(conn net.Conn, peer int) { send(c, conn, peer) })
	c.verify(peers, func() error {
		_, err := client.CallAddress(c.site.PeerAddresses[0], wire.CallKind_CALL_KIND_GOSSIP, nil, crowdAttemptTimeout)
		return err
	})
}

// sendFlood returns a function that sends a text again and again.
func sendFlood(open, repeated string, count int) func(*crowd, net.Conn, int) {
	return func(_ *crowd, conn net.Conn, _ int) {
		if write(conn, []byte(open)) {
			write(conn, []byte(strings.Repeat(repeated, count)))
		}
	}
}

// frameHeader returns the header of a yamux frame.
func frameHeader(kind byte, flags uint16, stream, length uint32) string {
	h := append([]byte{0, kind}, binary.BigEndian.AppendUint16(nil, flags)...)
	h = binary.BigEndian.AppendUint32(h, stream)
	return string(binary.BigEndian.AppendUint32(h, length))
}

const (
	frameData, frameWindowUpdate, framePing = 0, 1, 2
	flagSYN                                 = 1
)

// unfinishedHello opens a stream with a hello that stops just short of its end.
var unfinishedHello = frameHeader(frameData, flagSYN, 1, wire.MaxHelloBytes+3) + string(binary.BigEndian.AppendUint32(nil, wire.MaxHelloBytes)) + strings.Repeat("x", wire.MaxHelloBytes-1)

// linkTo says hello as a host of its own on a connection, and returns the session, nil if it is
// turned away.
func linkTo(c *crowd, conn net.Conn, name string) *yamux.Session {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	config.ConnectionWriteTimeout = stallTimeout
	session, err := yamux.Client(conn, config)
	if err != nil {
		return nil
	}
	c.members.Go(func() {
		<-c.left
		_ = session.Close()
	})
	stream, err := session.OpenStream()
	if err != nil || stream.SetDeadline(time.Now().Add(stallTimeout)) != nil {
		return nil
	}
	hello := &wire.Hello{Version: wire.ProtocolVersion, Host: name, Zone: "zone-0", Incarnation: &wire.Incarnation{Started: 1, Nonce: 1}}
	if _, err = wire.WriteFrame(stream, hello, wire.MaxHelloBytes); err != nil {
		return nil
	}
	if _, err = wire.ReadFrame(stream, &wire.Hello{}, wire.MaxHelloBytes); err != nil {
		return nil
	}
	return session
}

// sendOnStreams links each peer and sends a text on each of its streams.
func sendOnStreams(text string) func(*crowd, net.Conn, int) {
	return func(c *crowd, conn net.Conn, peer int) {
		session := linkTo(c, conn, fmt.Sprintf("stranger-%d", peer))
		for range peerStreams {
			if session == nil {
				return
			}
			stream, err := session.OpenStream()
			if err != nil || stream.SetWriteDeadline(time.Now().Add(stallTimeout)) != nil {
				return
			}
			_, _ = stream.Write([]byte(text))
		}
	}
}

// The tests below guard against strangers and peers that end the process through its memory, or keep
// ordinary peers and callers from being answered.

func TestControlBearsGarbage(t *testing.T) {
	misuseControl(t, crowdCallers, sendFlood("", "\xff\x00 GET /", flood("\xff\x00 GET /")))
}

func TestControlBearsSilentConnections(t *testing.T) {
	misuseControl(t, crowdConnections, sendFlood("", "", 0))
}

func TestControlBearsStreamsBeforeTheHello(t *testing.T) {
	misuseControl(t, crowdPeers, func(_ *crowd, conn net.Conn, _ int) {
		if !write(conn, []byte(unfinishedHello)) {
			return
		}
		data := strings.Repeat("x", streamWindow)
		for id := uint32(3); id < 2*peerStreams; id += 2 {
			if !write(conn, []byte(frameHeader(frameData, flagSYN, id, streamWindow)+data)) {
				return
			}
		}
	})
}

func TestControlBearsPingsWithoutEnd(t *testing.T) {
	misuseControl(t, crowdPeers, sendFlood("", frameHeader(framePing, flagSYN, 0, 1), peerPings))
}

func TestControlBearsStreamsWithoutEnd(t *testing.T) {
	misuseControl(t, crowdPeers, func(_ *crowd, conn net.Conn, _ int) {
		for id := uint32(1); id < floodBytes/pingBytes; id += 2 {
			if !write(conn, []byte(frameHeader(frameWindowUpdate, flagSYN, id, 0))) {
				return
			}
		}
	})
}

func TestControlBearsUnfinishedHellos(t *testing.T) {
	misuseControl(t, crowdConnections, sendFlood(unfinishedHello, "", 0))
}

func TestControlBearsUnfinishedFrames(t *testing.T) {
	misuseControl(t, crowdConnections, sendFlood(unfinishedHello[:len(unfinishedHello)-1], "", 0))
}

// TestControlBearsManyHellos has each of its peers say hello with one long name after another.
func TestControlBearsManyHellos(t *testing.T) {
	const hellos = 50
	misuseControl(t, crowdCallers, func(c *crowd, conn net.Conn, peer int) {
		_ = conn.Close()
		for i := range hellos {
			conn, err := net.DialTimeout("tcp", c.site.PeerAddresses[0], stallTimeout)
			if err != nil {
				return
			}
			linkTo(c, conn, fmt.Sprintf("%s-%d-%d", strings.Repeat("x", wire.MaxHelloBytes-100), peer, i))
			_ = conn.Close()
		}
	})
}

func TestControlBearsStreamsLeftOpen(t *testing.T) {
	misuseControl(t, 2*crowdPeers, sendOnStreams("\x00"))
}

func TestControlBearsUnfinishedCalls(t *testing.T) {
	call := binary.BigEndian.AppendUint32(nil, wire.MaxCallBytes)
	misuseControl(t, crowdPeers, sendOnStreams(string(call)+strings.Repeat("x", wire.MaxCallBytes-1)))
}
