package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/edge/callerclient"
	"pollentack.example/pollentack/internal/edge/front"
	"pollentack.example/pollentack/internal/node"
	"pollentack.example/pollentack/internal/standin"
	"pollentack.example/pollentack/internal/testbed"
)

// commandEnv makes the test binary be the command itself, for tests on processes.
const commandEnv = "POLLENTACK_TEST_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(commandEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// site is a stand-in and hosts, each a process of its own.
type site struct {
	t       *testing.T
	dir     string
	client  *callerclient.Client
	standin *exec.Cmd
	hosts   []*hostProcess
	ports   []int
	// targets are the ports of the stand-in targets.
	targets  []int
	platform int
}

type hostProcess struct {
	name  string
	cmd   *exec.Cmd
	front string
	admin string
}

const (
	siteHosts   = 3
	siteTargets = 4
	portsEach   = 3
)

func newSite(t *testing.T) *site {
	t.Helper()
	client, err := callerclient.New()
	if err != nil {
		t.Fatal(err)
	}
	s := &site{t: t, dir: t.TempDir(), client: client}
	s.ports = freePorts(t, siteHosts*portsEach+siteTargets+1)
	s.platform = s.ports[siteHosts*portsEach+siteTargets]
	s.targets = s.ports[siteHosts*portsEach : siteHosts*portsEach+siteTargets]
	s.write("note-1.ini", s.note())
	s.write("standin.ini", s.standinSettings())
	s.standin = s.command("standin", filepath.Join(s.dir, "standin.ini"))
	for i := range siteHosts {
		s.hosts = append(s.hosts, s.startHost(i))
	}
	t.Cleanup(s.stop)
	for _, h := range s.hosts {
		s.awaitNote(h, 1)
	}
	return s
}

// freePorts holds all ports at once, so that they differ.
func freePorts(t *testing.T, n int) []int {
	t.Helper()
	ports := make([]int, n)
	for i := range ports {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports
}

func (s *site) command(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), commandEnv+"=1")
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	return cmd
}

func (s *site) startHost(i int) *hostProcess {
	ports := s.ports[i*portsEach : (i+1)*portsEach]
	name := fmt.Sprintf("host-%d", i+1)
	h := &hostProcess{name: name, front: address(ports[0]), admin: address(ports[1])}
	path := s.write(name+".ini", fmt.Sprintf(`[host]
name = %s
availability-zone = %s
[listen]
front = %s
admin = %s
mesh = %s
[platform]
address = %s
poll = 1s
`, name, zoneName(i), h.front, h.admin, address(ports[2]), address(s.platform)))
	h.cmd = s.command("serve", path)
	return h
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func zoneName(i int) string { return testbed.ThreeZones()[i%siteHosts].Name }

func (s *site) write(name, text string) string {
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// note is the baseline: one service of two shards with two replicas each.
func (s *site) note() string {
	var b strings.Builder
	b.WriteString("[note]\nnumber = 1\nkind = baseline\n")
	items := 2*siteHosts + siteTargets + 3
	for i := range siteHosts {
		fmt.Fprintf(&b, "[add availability-zone %s]\nregion = region-%d\n", zoneName(i), i)
		fmt.Fprintf(&b, "[add host host-%d]\navailability-zone = %s\nmesh = %s\n", i+1, zoneName(i), address(s.ports[i*portsEach+2]))
	}
	b.WriteString("[add service licences]\ndeadline = 1s\n")
	for i, port := range s.targets {
		fmt.Fprintf(&b, "[add target t-%d]\naddress = %s\navailability-zone = %s\nservice = licences\nslots = 2\n", i, address(port), zoneName(i))
	}
	b.WriteString("[add snapshot licences 1/a]\nshards = 2\nreplicas.0 = t-0, t-1\nreplicas.1 = t-2, t-3\n")
	fmt.Fprintf(&b, "[add caller counter]\nkey-sha256 = %x\nservices = licences\nrate-per-second = 1000\n", sha256.Sum256([]byte(testbed.Key(0))))
	fmt.Fprintf(&b, "[end]\nitems = %d\n", items)
	return b.String()
}

func (s *site) standinSettings() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[platform]\naddress = %s\nnotes = note-1.ini\n", address(s.platform))
	for i, port := range s.targets {
		fmt.Fprintf(&b, "[target t-%d]\naddress = %s\nlatency = 2ms\n", i, address(port))
	}
	return b.String()
}

// await waits until condition holds and fails the test if it does not in good time.
func (s *site) await(what string, condition func() bool) {
	s.t.Helper()
	if err := testbed.Await(what, condition); err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) status(h *hostProcess) (node.Status, bool) {
	var st node.Status
	err := s.client.Get(h.admin, "/v1/status", &st)
	return st, err == nil
}

func (s *site) awaitNote(h *hostProcess, number uint64) {
	s.t.Helper()
	s.await(fmt.Sprintf("note %d in force on %s", number, h.name), func() bool {
		st, ok := s.status(h)
		return ok && st.Note >= number
	})
}

func (s *site) query(h *hostProcess) *front.AnswerBody {
	s.t.Helper()
	answer, _, err := s.client.Query(h.front, testbed.Key(0), "licences", &front.QueryBody{Query: "DK 4821", Limit: 5})
	if err != nil {
		s.t.Fatalf("query through %s: %v", h.name, err)
	}
	return answer
}

func (s *site) mustAnswer(h *hostProcess) {
	s.t.Helper()
	if a := s.query(h); a.Code != result.OK || a.Coverage != 1 {
		s.t.Fatalf("%s answers %d %s with coverage %g", h.name, a.Code, a.Name, a.Coverage)
	}
}

func (s *site) publish(number uint64, text string) {
	s.t.Helper()
	url := fmt.Sprintf("http://%s%s?number=%d", address(s.platform), standin.PathPublish, number)
	resp, err := http.Post(url, "text/plain", bytes.NewReader([]byte(text)))
	if err != nil {
		s.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

func (s *site) signal(cmd *exec.Cmd, sig os.Signal) {
	s.t.Helper()
	if err := cmd.Process.Signal(sig); err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) stop() {
	for _, h := range s.hosts {
		_ = h.cmd.Process.Kill()
		_ = h.cmd.Wait()
	}
	_ = s.standin.Process.Kill()
	_ = s.standin.Wait()
	s.client.Close()
}

// TestHostKilled: the other hosts go on answering, and the host serves again after a
// new start.
func TestHostKilled(t *testing.T) {
	s := newSite(t)
	s.signal(s.hosts[0].cmd, syscall.SIGKILL)
	_ = s.hosts[0].cmd.Wait()
	s.mustAnswer(s.hosts[1])
	s.mustAnswer(s.hosts[2])
	s.hosts[0] = s.startHost(0)
	s.awaitNote(s.hosts[0], 1)
	s.mustAnswer(s.hosts[0])
}

// TestHostPaused: a host that is stopped while a note takes a zone out has the note in
// force after it wakes, and then still answers.
func TestHostPaused(t *testing.T) {
	s := newSite(t)
	s.signal(s.hosts[0].cmd, syscall.SIGSTOP)
	s.publish(2, fmt.Sprintf("[note]\nnumber = 2\nkind = change\nfollows = 1\n[change availability-zone %s]\nregion = dakar\nstate = out\n[end]\nitems = 1\n", zoneName(0)))
	s.awaitNote(s.hosts[1], 2)
	s.mustAnswer(s.hosts[1])
	s.signal(s.hosts[0].cmd, syscall.SIGCONT)
	s.awaitNote(s.hosts[0], 2)
	s.mustAnswer(s.hosts[0])
}

// TestPlatformOutage: what is in force goes on while the platform, and in this site the
// targets' process with it, does not answer; after its return all is as before.
func TestPlatformOutage(t *testing.T) {
	s := newSite(t)
	s.signal(s.standin, syscall.SIGSTOP)
	for _, h := range s.hosts {
		st, ok := s.status(h)
		if !ok || st.Note != 1 {
			t.Errorf("%s has note %d in force", h.name, st.Note)
		}
	}
	s.signal(s.standin, syscall.SIGCONT)
	for _, h := range s.hosts {
		s.await("answers of "+h.name, func() bool { return s.query(h).Code == result.OK })
	}
}

// TestNotesRacing: two operators publish notes with one predecessor; every host ends
// with the same one in force and names the other.
func TestNotesRacing(t *testing.T) {
	s := newSite(t)
	note := "[note]\nnumber = %d\nkind = change\nfollows = 1\n[add caller late-%d]\nkey-sha256 = %064x\nservices = licences\n[end]\nitems = 1\n"
	s.publish(2, fmt.Sprintf(note, 2, 2, 2))
	s.publish(3, fmt.Sprintf(note, 3, 3, 3))
	for _, h := range s.hosts {
		s.awaitNote(h, 2)
		s.await(h.name+" naming note 3", func() bool {
			st, ok := s.status(h)
			text, err := json.Marshal(st)
			return ok && err == nil && st.Note == 2 && len(st.Rejected) == 1 && bytes.Contains(text, []byte(`"number":3`))
		})
		s.mustAnswer(h)
	}
}

// TestGracefulStop: SIGTERM ends a host with exit code 0.
func TestGracefulStop(t *testing.T) {
	s := newSite(t)
	s.mustAnswer(s.hosts[2])
	s.signal(s.hosts[2].cmd, syscall.SIGTERM)
	timer := time.AfterFunc(20*time.Second, func() { _ = s.hosts[2].cmd.Process.Kill() })
	defer timer.Stop()
	if err := s.hosts[2].cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	s.mustAnswer(s.hosts[0])
}
