package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/edge/callerapi"
	"pollentack.example/pollentack/internal/edge/callerclient"
	"pollentack.example/pollentack/internal/node"
	"pollentack.example/pollentack/internal/standin"
	"pollentack.example/pollentack/internal/testbed"
)

// runCommandEnv is an environment variable that makes the test binary run the pollentack
// command instead of the tests, so that tests can start hosts as separate processes.
const runCommandEnv = "POLLENTACK_TEST_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(runCommandEnv) != "" {
		dialThroughNetwork()
		main()
		return
	}
	os.Exit(m.Run())
}

// cluster is a stand-in platform with targets in one process, and hosts in a process each.
type cluster struct {
	t       *testing.T
	dir     string
	client  *callerclient.Client
	standin *exec.Cmd
	hosts   []*hostProcess
	// ports are all reserved ports: portsPerHost for each host, one for each target, one
	// for the platform.
	ports []int
	// targetPorts are the ports of the stand-in targets.
	targetPorts  []int
	platformPort int
}

type hostProcess struct {
	name  string
	cmd   *exec.Cmd
	front string
	admin string
}

const (
	clusterHosts   = 3
	clusterTargets = 4
	portsPerHost   = 3
)

func startCluster(t *testing.T) *cluster {
	t.Helper()
	client, err := callerclient.New()
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{t: t, dir: t.TempDir(), client: client}
	c.ports = freePorts(t, clusterHosts*portsPerHost+clusterTargets+1)
	c.platformPort = c.ports[clusterHosts*portsPerHost+clusterTargets]
	c.targetPorts = c.ports[clusterHosts*portsPerHost : clusterHosts*portsPerHost+clusterTargets]
	c.writeFile("note-1.ini", c.baselineNote())
	c.writeFile("standin.ini", c.standinSettings())
	c.standin = c.command("standin", filepath.Join(c.dir, "standin.ini"))
	for i := range clusterHosts {
		c.hosts = append(c.hosts, c.startHost(i))
	}
	t.Cleanup(c.killAll)
	for _, h := range c.hosts {
		c.awaitNote(h, 1)
	}
	return c
}

// freePorts returns n distinct free ports.
func freePorts(t *testing.T, n int) []int {
	t.Helper()
	base := freePortRange(t, n)
	ports := make([]int, n)
	for i := range ports {
		ports[i] = base + i
	}
	return ports
}

func (c *cluster) command(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runCommandEnv+"=1")
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	return cmd
}

func (c *cluster) startHost(i int) *hostProcess {
	ports := c.ports[i*portsPerHost : (i+1)*portsPerHost]
	name := fmt.Sprintf("host-%d", i+1)
	h := &hostProcess{name: name, front: loopbackAddress(ports[0]), admin: loopbackAddress(ports[1])}
	path := c.writeFile(name+".ini", fmt.Sprintf(`[host]
name = %s
availability-zone = %s
[listen]
front = %s
admin = %s
mesh = %s
[platform]
address = %s
poll = 1s
`, name, zoneName(i), h.front, h.admin, loopbackAddress(ports[2]), loopbackAddress(c.platformPort)))
	h.cmd = c.command("serve", path)
	return h
}

func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func zoneName(i int) string { return testbed.ThreeZones()[i%clusterHosts].Name }

func (c *cluster) writeFile(name, text string) string {
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// baselineNote returns a baseline note with one service of two shards, two replicas each.
func (c *cluster) baselineNote() string {
	var b strings.Builder
	b.WriteString("[note]\nnumber = 1\nkind = baseline\n")
	items := 2*clusterHosts + clusterTargets + 3
	for i := range clusterHosts {
		fmt.Fprintf(&b, "[add availability-zone %s]\nregion = region-%d\n", zoneName(i), i)
		fmt.Fprintf(&b, "[add host host-%d]\navailability-zone = %s\nmesh = %s\n", i+1, zoneName(i), loopbackAddress(c.ports[i*portsPerHost+2]))
	}
	b.WriteString("[add service licences]\ndeadline = 1s\n")
	for i, port := range c.targetPorts {
		fmt.Fprintf(&b, "[add target t-%d]\naddress = %s\navailability-zone = %s\nservice = licences\nslots = 2\n", i, loopbackAddress(port), zoneName(i))
	}
	b.WriteString("[add snapshot licences 1/a]\nshards = 2\nreplicas.0 = t-0, t-1\nreplicas.1 = t-2, t-3\n")
	fmt.Fprintf(&b, "[add caller counter]\nkey-sha256 = %x\nservices = licences\nrate-per-second = 1000\n", sha256.Sum256([]byte(testbed.CallerKey(0))))
	fmt.Fprintf(&b, "[end]\nitems = %d\n", items)
	return b.String()
}

func (c *cluster) standinSettings() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[platform]\naddress = %s\nnotes = note-1.ini\n", loopbackAddress(c.platformPort))
	for i, port := range c.targetPorts {
		fmt.Fprintf(&b, "[target t-%d]\naddress = %s\nlatency = 2ms\n", i, loopbackAddress(port))
	}
	return b.String()
}

// await polls condition until it holds, and fails the test if it times out.
func (c *cluster) await(what string, condition func() bool) {
	c.t.Helper()
	if err := testbed.Await(what, condition); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) status(h *hostProcess) (node.Status, bool) {
	var st node.Status
	err := c.client.Get(h.admin, "/v1/status", &st)
	return st, err == nil
}

func (c *cluster) awaitNote(h *hostProcess, number uint64) {
	c.t.Helper()
	c.await(fmt.Sprintf("note %d to be in force on %s", number, h.name), func() bool {
		st, ok := c.status(h)
		return ok && st.Note >= number
	})
}

func (c *cluster) query(h *hostProcess) *callerapi.QueryResponse {
	c.t.Helper()
	answer, _, err := c.client.Query(h.front, testbed.CallerKey(0), "licences", &callerapi.QueryRequest{Query: "DK 4821", Limit: 5})
	if err != nil {
		c.t.Fatalf("query through %s: %v", h.name, err)
	}
	return answer
}

func (c *cluster) requireFullAnswer(h *hostProcess) {
	c.t.Helper()
	if a := c.query(h); a.Code != result.OK || a.Coverage != 1 {
		c.t.Fatalf("%s answered %d %s with coverage %g, want an OK answer with coverage 1", h.name, a.Code, a.Name, a.Coverage)
	}
}

func (c *cluster) publish(number uint64, text string) {
	c.t.Helper()
	url := fmt.Sprintf("http://%s%s?number=%d", loopbackAddress(c.platformPort), standin.PathPublish, number)
	resp, err := http.Post(url, "text/plain", bytes.NewReader([]byte(text)))
	if err != nil {
		c.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

func (c *cluster) signal(cmd *exec.Cmd, sig os.Signal) {
	c.t.Helper()
	if err := cmd.Process.Signal(sig); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) killAll() {
	for _, h := range c.hosts {
		_ = h.cmd.Process.Kill()
		_ = h.cmd.Wait()
	}
	_ = c.standin.Process.Kill()
	_ = c.standin.Wait()
	c.client.Close()
}

// TestHostKilled checks that the other hosts keep answering after a host is killed, and
// that the host serves again after a restart.
func TestHostKilled(t *testing.T) {
	c := startCluster(t)
	c.signal(c.hosts[0].cmd, syscall.SIGKILL)
	_ = c.hosts[0].cmd.Wait()
	c.requireFullAnswer(c.hosts[1])
	c.requireFullAnswer(c.hosts[2])
	c.hosts[0] = c.startHost(0)
	c.awaitNote(c.hosts[0], 1)
	c.requireFullAnswer(c.hosts[0])
}

// TestHostPaused checks that a host that was suspended while a note took its zone out of
// service applies the note after it resumes, and still answers queries.
func TestHostPaused(t *testing.T) {
	c := startCluster(t)
	c.signal(c.hosts[0].cmd, syscall.SIGSTOP)
	c.publish(2, fmt.Sprintf("[note]\nnumber = 2\nkind = change\nfollows = 1\n[change availability-zone %s]\nregion = dakar\nstate = out\n[end]\nitems = 1\n", zoneName(0)))
	c.awaitNote(c.hosts[1], 2)
	c.requireFullAnswer(c.hosts[1])
	c.signal(c.hosts[0].cmd, syscall.SIGCONT)
	c.awaitNote(c.hosts[0], 2)
	c.requireFullAnswer(c.hosts[0])
}

// TestPlatformOutage checks that hosts keep their note in force while the platform does not
// respond, and answer queries once it responds again. The targets run in the platform's
// process, so that no query can be answered during the outage.
func TestPlatformOutage(t *testing.T) {
	c := startCluster(t)
	c.signal(c.standin, syscall.SIGSTOP)
	for _, h := range c.hosts {
		st, ok := c.status(h)
		if !ok || st.Note != 1 {
			t.Errorf("%s has note %d in force", h.name, st.Note)
		}
	}
	c.signal(c.standin, syscall.SIGCONT)
	for _, h := range c.hosts {
		c.await(h.name+" to answer", func() bool { return c.query(h).Code == result.OK })
	}
}

// TestConcurrentNotes publishes two notes with the same predecessor, as two operators
// might: every host puts the same one in force and reports the other as rejected.
func TestConcurrentNotes(t *testing.T) {
	c := startCluster(t)
	noteFormat := "[note]\nnumber = %d\nkind = change\nfollows = 1\n[add caller late-%d]\nkey-sha256 = %064x\nservices = licences\n[end]\nitems = 1\n"
	c.publish(2, fmt.Sprintf(noteFormat, 2, 2, 2))
	c.publish(3, fmt.Sprintf(noteFormat, 3, 3, 3))
	for _, h := range c.hosts {
		c.awaitNote(h, 2)
		c.await(h.name+" to report note 3 as rejected", func() bool {
			st, ok := c.status(h)
			text, err := json.Marshal(st)
			return ok && err == nil && st.Note == 2 && len(st.Rejected) == 1 && bytes.Contains(text, []byte(`"number":3`))
		})
		c.requireFullAnswer(h)
	}
}

// TestGracefulStop checks that a host exits with code 0 on SIGTERM.
func TestGracefulStop(t *testing.T) {
	c := startCluster(t)
	c.requireFullAnswer(c.hosts[2])
	c.signal(c.hosts[2].cmd, syscall.SIGTERM)
	timer := time.AfterFunc(20*time.Second, func() { _ = c.hosts[2].cmd.Process.Kill() })
	defer timer.Stop()
	if err := c.hosts[2].cmd.Wait(); err != nil {
		t.Errorf("host exited with %v", err)
	}
	c.requireFullAnswer(c.hosts[0])
}
