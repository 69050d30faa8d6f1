package mesh

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"

	"pollentack.example/pollentack/internal/core/membership"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/ring"
	"pollentack.example/pollentack/internal/settings"
	"pollentack.example/pollentack/internal/wire"
)

const loopbackPort = "127.0.0.1:0"

// peer is a mesh with the events that it has emitted.
type peer struct {
	*Mesh
	events *ring.Ring[membership.Event]
}

func startPeer(t *testing.T, name string, started uint64, adjust func(*Options)) *peer {
	t.Helper()
	p := &peer{events: ring.New[membership.Event](name, 1024)}
	o := Options{
		Host: name, Zone: "zone-" + name, Listen: loopbackPort, Log: zerolog.Nop(),
		Incarnation: membership.Incarnation{Started: started},
		Emit:        func(ev membership.Event) bool { return p.events.Put(ev) },
	}
	if adjust != nil {
		adjust(&o)
	}
	m, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	p.Mesh = m
	t.Cleanup(m.Stop)
	return p
}

func (p *peer) host() release.Host {
	return release.Host{Name: p.options.Host, Zone: p.options.Zone, MeshAddress: p.Address()}
}

func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for %s", description)
}

func connectPeers(t *testing.T, a, b *peer) {
	t.Helper()
	hosts := []release.Host{a.host(), b.host()}
	// The accepting side gets its hosts first, since it refuses unknown names.
	b.SetHosts(hosts, []string{a.options.Host})
	a.SetHosts(hosts, []string{b.options.Host})
	waitUntil(t, "the link on both sides", func() bool { return len(a.Peers()) == 1 && len(b.Peers()) == 1 })
}

func TestHeartbeatIsDeliveredUnchanged(t *testing.T) {
	a, b := startPeer(t, "a", 1, nil), startPeer(t, "b", 2, nil)
	connectPeers(t, a, b)
	a.SendHeartbeat("b", &membership.Heartbeat{Sequence: 7, EchoedSequence: 3, NoteNumber: 9, Hash: 11, UpTo: 5, MergedUpTo: 4, Leaving: true})
	batch := make([]membership.Event, 1)
	for {
		if n, _ := b.events.Take(batch, 5*time.Second); n == 0 {
			t.Fatal("no heartbeat arrived")
		}
		received, ok := batch[0].(*membership.HeartbeatReceived)
		if !ok {
			continue
		}
		if received.Peer != "a" || received.Incarnation.Started != 1 || received.Heartbeat.Sequence != 7 || received.Heartbeat.NoteNumber != 9 || !received.Heartbeat.Leaving {
			t.Fatalf("received %+v %+v", received, received.Heartbeat)
		}
		return
	}
}

// TestHellosAreDated guards against first messages to a process that has just started whose delay on the way
// cannot be seen, since no earlier one shows the usual transit.
func TestHellosAreDated(t *testing.T) {
	type stamp struct {
		peer    string
		process uint64
		sentAt  time.Duration
	}
	seen := make(chan stamp, 8)
	dated := func(process uint64) func(*Options) {
		return func(o *Options) {
			o.Stamp = func() (uint64, time.Duration) { return process, time.Duration(process) * time.Second }
			o.Observe = func(peer string, process uint64, sentAt time.Duration) { seen <- stamp{peer, process, sentAt} }
		}
	}
	connectPeers(t, startPeer(t, "a", 1, dated(3)), startPeer(t, "b", 2, dated(5)))
	first, second := <-seen, <-seen
	if first.peer == "b" {
		first, second = second, first
	}
	if first != (stamp{"a", 3, 3 * time.Second}) || second != (stamp{"b", 5, 5 * time.Second}) {
		t.Errorf("hellos are dated %+v and %+v", first, second)
	}
}

func TestEitherSideCanCall(t *testing.T) {
	a, b := startPeer(t, "a", 1, nil), startPeer(t, "b", 2, nil)
	for _, p := range []*peer{a, b} {
		p.Handle(wire.CallKind_CALL_KIND_NOTE, func(from string, payload []byte) []byte {
			return append([]byte(from+">"+p.options.Host+":"), payload...)
		})
	}
	connectPeers(t, a, b)
	for _, pair := range [][2]*peer{{a, b}, {b, a}} {
		got, err := pair[0].Call(pair[1].options.Host, wire.CallKind_CALL_KIND_NOTE, []byte("x"), time.Second)
		want := fmt.Sprintf("%s>%s:x", pair[0].options.Host, pair[1].options.Host)
		if err != nil || string(got) != want {
			t.Errorf("call returned %q, %v; want %q", got, err, want)
		}
	}
}

// TestCallErrorClassification checks that a call returns ErrNotSent only if no handler ran,
// and ErrOutcomeUnknown if a handler may have run.
func TestCallErrorClassification(t *testing.T) {
	a, b := startPeer(t, "a", 1, nil), startPeer(t, "b", 2, nil)
	connectPeers(t, a, b)
	started := make(chan struct{})
	unblock := make(chan struct{})
	b.Handle(wire.CallKind_CALL_KIND_ONCE, func(string, []byte) []byte {
		close(started)
		<-unblock
		return nil
	})
	if _, err := a.Call("b", wire.CallKind_CALL_KIND_SUBQUERY, nil, time.Second); !errors.Is(err, ErrNotSent) {
		t.Errorf("no handler: %v, want ErrNotSent", err)
	}
	if _, err := a.Call("c", wire.CallKind_CALL_KIND_ONCE, nil, time.Second); !errors.Is(err, ErrNotSent) {
		t.Errorf("unknown host: %v, want ErrNotSent", err)
	}
	if _, err := a.Call("b", wire.CallKind_CALL_KIND_ONCE, bytes.Repeat([]byte{1}, wire.MaxCallBytes), time.Second); !errors.Is(err, ErrNotSent) {
		t.Errorf("oversized: %v, want ErrNotSent", err)
	}
	if _, err := a.Call("b", wire.CallKind_CALL_KIND_ONCE, nil, 200*time.Millisecond); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("handler runs longer than the call timeout: %v, want ErrOutcomeUnknown", err)
	}
	<-started
	close(unblock)
}

// dialHello dials p, sends h and returns the hello with which p responds.
func dialHello(t *testing.T, p *peer, h *wire.Hello) (*wire.Hello, error) {
	t.Helper()
	from := startPeer(t, "raw", 1, nil)
	conn, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	session, err := yamuxClient(conn)
	if err != nil {
		t.Fatal(err)
	}
	defer session.Close()
	stream, err := session.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	answer := &wire.Hello{}
	return answer, from.exchangeHellos(stream, h, answer)
}

// TestInvalidHelloIsRefused checks each reason to refuse a hello, and that it is counted.
func TestInvalidHelloIsRefused(t *testing.T) {
	p := startPeer(t, "p", 1, nil)
	peerHost := release.Host{Name: "q", Zone: "zone-q", MeshAddress: "127.0.0.1:1"}
	p.SetHosts([]release.Host{p.host(), peerHost}, nil)
	p.mu.Lock()
	p.lastSeen["q"] = seenIncarnation{incarnation: membership.Incarnation{Started: 50}, at: time.Now()}
	p.mu.Unlock()
	validHello := func() *wire.Hello {
		return &wire.Hello{Version: wire.ProtocolVersion, Host: "q", Zone: "zone-q", To: "p", Incarnation: &wire.Incarnation{Started: 50}}
	}
	tests := []struct {
		reason wire.Refusal
		modify func(*wire.Hello)
	}{
		{wire.Refusal_REFUSAL_NONE, func(*wire.Hello) {}},
		{wire.Refusal_REFUSAL_VERSION, func(h *wire.Hello) { h.Version++ }},
		{wire.Refusal_REFUSAL_UNKNOWN_HOST, func(h *wire.Hello) { h.Host = "unknown" }},
		{wire.Refusal_REFUSAL_WRONG_ZONE, func(h *wire.Hello) { h.Zone = "zone-p" }},
		{wire.Refusal_REFUSAL_WRONG_HOST, func(h *wire.Hello) { h.To = "q" }},
		{wire.Refusal_REFUSAL_OLD_INCARNATION, func(h *wire.Hello) { h.Incarnation.Started = 49 }},
	}
	for _, c := range tests {
		h := validHello()
		c.modify(h)
		before := p.Stats().Refused[refusalName(c.reason)]
		answer, err := dialHello(t, p, h)
		if err != nil || answer.GetRefusal() != c.reason {
			t.Errorf("%s: answer %v, %v", c.reason, answer.GetRefusal(), err)
		}
		if after := p.Stats().Refused[refusalName(c.reason)]; c.reason != wire.Refusal_REFUSAL_NONE && after != before+1 {
			t.Errorf("%s: counted %d times", c.reason, after-before)
		}
	}
}

// TestInvalidFrameClosesLink checks that an oversized and a malformed frame are counted, and
// that each closes the link.
func TestInvalidFrameClosesLink(t *testing.T) {
	frames := map[string][]byte{
		"oversized": {0xff, 0xff, 0xff, 0xff},
		"malformed": {0, 0, 0, 2, 0xff, 0xff},
	}
	for name, frame := range frames {
		a, b := startPeer(t, "a", 1, nil), startPeer(t, "b", 2, nil)
		connectPeers(t, a, b)
		previous := a.linkTo("b")
		// The write may fail, since the peer may close the session before it returns.
		_, _ = previous.heartbeats.Write(frame)
		waitUntil(t, name+" to be counted", func() bool { s := b.Stats(); return s.FramesOversized+s.FramesMalformed == 1 })
		waitUntil(t, "a new link after "+name, func() bool { l := a.linkTo("b"); return l != nil && l != previous })
	}
}

// TestConcurrentDialsLeaveOneLink checks that one link remains after both sides have dialed
// each other at the same time.
func TestConcurrentDialsLeaveOneLink(t *testing.T) {
	a, b := startPeer(t, "a", 1, nil), startPeer(t, "b", 2, nil)
	hosts := []release.Host{a.host(), b.host()}
	a.SetHosts(hosts, nil)
	b.SetHosts(hosts, nil)
	workers, err := duty.NewWorkers(2, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer workers.Close()
	for _, pair := range [][2]*peer{{a, b}, {b, a}} {
		err := workers.Submit(func() {
			_, _ = pair[0].Call(pair[1].options.Host, wire.CallKind_CALL_KIND_NOTE, nil, time.Second)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	waitUntil(t, "the same link on both sides", func() bool {
		l, r := a.linkTo("b"), b.linkTo("a")
		return l != nil && r != nil && l.session.LocalAddr().String() == r.session.RemoteAddr().String()
	})
}

// authority is a certificate authority.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	a.key, _ = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "mesh"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.cert, _ = x509.ParseCertificate(der)
	a.write("authority.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// issue writes a certificate for host and its key, and returns the paths of the files.
func (a *authority) issue(file, host string, serial int64) settings.Mesh {
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), DNSNames: []string{host},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	raw, _ := x509.MarshalPKCS8PrivateKey(key)
	return settings.Mesh{
		CertificateFile: a.write(file+".pem", "CERTIFICATE", der),
		KeyFile:         a.write(file+".key", "PRIVATE KEY", raw),
		AuthorityFile:   filepath.Join(a.dir, "authority.pem"),
	}
}

// TestMutualTLS checks that hosts with certificates of the same authority connect, and that a
// certificate for another name or of another authority is refused. A renewed certificate
// must be used without a restart, and an invalid one must leave the previous one in use.
func TestMutualTLS(t *testing.T) {
	trusted, foreign := newAuthority(t), newAuthority(t)
	with := func(files settings.Mesh) func(*Options) { return func(o *Options) { o.Settings = files } }
	a := startPeer(t, "a", 1, with(trusted.issue("a", "a", 2)))
	b := startPeer(t, "b", 2, with(trusted.issue("b", "b", 3)))
	connectPeers(t, a, b)
	for name, files := range map[string]settings.Mesh{"name": trusted.issue("d", "other", 4), "authority": foreign.issue("c", "c", 5)} {
		c := startPeer(t, "c", 3, with(files))
		a.SetHosts([]release.Host{a.host(), b.host(), c.host()}, []string{"b"})
		c.SetHosts([]release.Host{a.host(), c.host()}, nil)
		if _, err := c.Call("a", wire.CallKind_CALL_KIND_NOTE, nil, time.Second); !errors.Is(err, ErrNotSent) {
			t.Errorf("wrong %s: %v, want ErrNotSent", name, err)
		}
		waitUntil(t, "the refusal to be counted", func() bool { return a.Stats().Refused["certificate"] > 0 })
	}
	if err := os.WriteFile(b.options.Settings.CertificateFile, []byte("invalid"), 0o600); err != nil {
		t.Fatal(err)
	}
	b.linkTo("a").close()
	waitUntil(t, "a link with the last valid certificate", func() bool { return len(a.Peers()) == 1 && len(b.Peers()) == 1 })
	trusted.issue("b", "b", 77)
	if serial := b.security.currentCredentials().certificate.Leaf.SerialNumber.Int64(); serial != 77 {
		t.Errorf("serial %d in use after the renewal, want 77", serial)
	}
}

// TestPlaintextRequiresLoopback checks that without certificates a host neither listens on
// nor dials an address that is not on loopback.
func TestPlaintextRequiresLoopback(t *testing.T) {
	if _, err := newSecurity(&settings.Mesh{}, "192.0.2.1:7000", zerolog.Nop()); err == nil {
		t.Error("a plaintext mesh on 192.0.2.1 was accepted")
	}
	a := startPeer(t, "a", 1, nil)
	if _, err := a.security.clientConfig(release.Host{Name: "b", MeshAddress: "192.0.2.1:7000"}); !errors.Is(err, errInsecure) {
		t.Errorf("dial of 192.0.2.1: %v", err)
	}
	if _, err := newSecurity(&settings.Mesh{CertificateFile: "none", KeyFile: "none", AuthorityFile: "none"}, loopbackPort, zerolog.Nop()); err == nil {
		t.Error("missing certificate files were accepted")
	}
}

// TestSeedsAreDialedBeforeFirstConfiguration checks that a host connects to its seeds before
// its first configuration.
func TestSeedsAreDialedBeforeFirstConfiguration(t *testing.T) {
	a := startPeer(t, "a", 1, nil)
	b := startPeer(t, "b", 2, func(o *Options) {
		o.Settings.Seeds = []settings.Seed{{Name: "a", Address: a.Address()}}
	})
	a.SetHosts([]release.Host{a.host(), b.host()}, []string{"b"})
	waitUntil(t, "a link", func() bool { return len(b.Peers()) == 1 })
}

func yamuxClient(conn net.Conn) (*yamux.Session, error) {
	return yamux.Client(conn, (&Mesh{}).sessionConfig(true))
}
