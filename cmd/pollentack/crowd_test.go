package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pollentack.example/pollentack/platform/platformtest"
)

// The limits of the process under test, in its settings and in the published configuration. The
// descriptors are also limited by the kernel.
const (
	crowdMemoryMB    = 96
	crowdDescriptors = 400
	crowdHeaderBytes = 16 << 10
	crowdBodyBytes   = 256 << 10
	crowdHeadTimeout = 2 * time.Second
	crowdIdleTimeout = 4 * time.Second
)

const (
	// crowdCallers is the number of callers that send something, crowdConnections that of those whose
	// connections alone exceed the descriptors of the process.
	crowdCallers     = 48
	crowdConnections = crowdDescriptors + 50
	// ownDescriptors bounds the descriptors of the process beside the connections of the crowd:
	// listeners, files, and connections to targets, the store and ordinary callers.
	ownDescriptors = 100
	// floodBytes is what a caller sends of something without end.
	floodBytes = 4 << 20
	// stallTimeout is how long a caller waits for the process to read on.
	stallTimeout = time.Second
	// crowdAnswerTimeout bounds the time in which an ordinary request is answered, attempts that are
	// refused or fail included, and that in which the descriptors of callers that left are closed.
	crowdAnswerTimeout  = 15 * time.Second
	crowdAttemptTimeout = 3 * time.Second
	// crowdRetryPause is the time between the attempts of an ordinary request.
	crowdRetryPause = 200 * time.Millisecond
	// settleTimeout bounds the wait for the process to have worked off what it was sent.
	settleTimeout = 10 * time.Second
	// runawayBytes is the resident memory at which the process is killed to protect the machine.
	runawayBytes = 1500 << 20
)

// crowd is callers or peers that misuse one gateway process.
type crowd struct {
	t     *testing.T
	site  *platformtest.Site
	cmd   *exec.Cmd
	ended chan struct{}
	// body is the answer to an ordinary request.
	body     string
	requests int
	// descriptors is the number before the crowd came, peakDescriptors the highest since.
	descriptors     int
	peakDescriptors atomic.Int64
	ranAway         atomic.Bool

	// sending are the members that still send what they have, members all that stay.
	sending, members sync.WaitGroup
	left             chan struct{}
}

// startCrowd starts a process without a crowd.
func startCrowd(t *testing.T) *crowd {
	t.Helper()
	dir := t.TempDir()
	site, err := platformtest.StartSite(dir, platformtest.SiteConfig{
		Hosts: 1, Zones: 2, Shards: 2, BasePort: freePortRange(t, platformtest.PortsPerHost),
		MemoryMB: crowdMemoryMB, MaxDescriptors: crowdDescriptors,
		Limits: platformtest.RequestLimits{HeaderBytes: crowdHeaderBytes, BodyBytes: crowdBodyBytes, HeaderTimeout: crowdHeadTimeout, IdleTimeout: crowdIdleTimeout},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	log, err := os.Create(filepath.Join(dir, "host.log"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	c := &crowd{t: t, site: site, ended: make(chan struct{}), left: make(chan struct{})}
	c.cmd = exec.Command("/bin/sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(crowdDescriptors), os.Args[0], "gateway", "--settings", site.SettingsFiles[0])
	c.cmd.Env = append(os.Environ(), runCommandEnv+"=1", "GOMAXPROCS=1")
	c.cmd.Stdout, c.cmd.Stderr = log, log
	// Without this test nothing guards the machine's memory.
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var watchers sync.WaitGroup
	watchers.Go(func() {
		_ = c.cmd.Wait()
		close(c.ended)
	})
	watchers.Go(c.watch)
	t.Cleanup(func() {
		_ = c.cmd.Process.Kill()
		watchers.Wait()
		if t.Failed() {
			t.Logf("end of the log:\n%s", logTail(log.Name()))
		}
	})
	if !c.await(crowdAnswerTimeout, func() bool { return c.askFront() == nil }) {
		t.Fatal("the process does not serve")
	}
	c.descriptors = c.countDescriptors()
	return c
}

// logTail returns the last bytes of a log.
func logTail(path string) []byte {
	text, err := os.ReadFile(path)
	if err != nil {
		return []byte(err.Error())
	}
	return text[max(0, len(text)-400):]
}

// watch records the peak of the descriptors and kills the process if it takes runawayBytes.
func (c *crowd) watch() {
	for {
		select {
		case <-c.ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
		c.peakDescriptors.Store(max(c.peakDescriptors.Load(), int64(c.countDescriptors())))
		if c.memory("VmRSS") > runawayBytes {
			c.ranAway.Store(true)
			_ = c.cmd.Process.Kill()
		}
	}
}

func (c *crowd) procPath(name string) string {
	return filepath.Join("/proc", strconv.Itoa(c.cmd.Process.Pid), name)
}

// memory returns a field of the process's status in bytes, 0 if it has ended.
func (c *crowd) memory(field string) int64 {
	text, _ := os.ReadFile(c.procPath("status"))
	_, value, _ := strings.Cut(string(text), "\n"+field+":")
	value, _, _ = strings.Cut(strings.TrimSpace(value), " ")
	kb, _ := strconv.ParseInt(value, 10, 64)
	return kb << 10
}

// countDescriptors returns the number of open descriptors, 0 if the process has ended.
func (c *crowd) countDescriptors() int {
	entries, _ := os.ReadDir(c.procPath("fd"))
	return len(entries)
}

// processorTicks returns the processor time that the process has taken, in clock ticks.
func (c *crowd) processorTicks() int64 {
	text, _ := os.ReadFile(c.procPath("stat"))
	_, text, _ = bytes.Cut(text, []byte(") "))
	fields := strings.Fields(string(text))
	const utime, stime = 11, 12
	if len(fields) <= stime {
		return 0
	}
	user, _ := strconv.ParseInt(fields[utime], 10, 64)
	system, _ := strconv.ParseInt(fields[stime], 10, 64)
	return user + system
}

func (c *crowd) alive() bool {
	select {
	case <-c.ended:
		return false
	default:
		return true
	}
}

// await polls condition until it holds, the process has ended or the timeout is over.
func (c *crowd) await(timeout time.Duration, condition func() bool) bool {
	for begin := time.Now(); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Since(begin) > timeout || !c.alive() {
			return false
		}
	}
	return true
}

// settle waits until the process takes less than a tenth of a processor.
func (c *crowd) settle() {
	c.await(settleTimeout, func() bool {
		before := c.processorTicks()
		time.Sleep(100 * time.Millisecond)
		return c.processorTicks()-before <= 1
	})
}

// join has n callers connect to an address, call send and stay until the crowd leaves.
func (c *crowd) join(n int, address string, send func(conn net.Conn, caller int)) {
	for caller := range n {
		c.sending.Add(1)
		c.members.Go(func() {
			conn, err := net.DialTimeout("tcp", address, stallTimeout)
			if err != nil {
				c.sending.Done() // turned away
				return
			}
			defer func() { _ = conn.Close() }()
			send(conn, caller)
			c.sending.Done()
			<-c.left
		})
	}
}

// write writes to a connection until the process has not read for stallTimeout or closes it, and
// reports whether all was written.
func write(conn net.Conn, p []byte) bool {
	for len(p) > 0 {
		block := p[:min(len(p), 64<<10)]
		if conn.SetWriteDeadline(time.Now().Add(stallTimeout)) != nil {
			return false
		}
		if _, err := conn.Write(block); err != nil {
			return false
		}
		p = p[len(block):]
	}
	return true
}

// verify checks the process while the crowd with its connections stays, has it leave and checks again.
// ask is an ordinary request to the listener that the crowd misuses, nil if that is the front.
func (c *crowd) verify(connections int, ask func() error) {
	c.t.Helper()
	c.sending.Wait()
	c.settle()
	if ask != nil {
		c.requireAnswer("while the crowd stays", ask)
	}
	c.requireAnswer("while the crowd stays", c.askFront)
	close(c.left)
	c.members.Wait()
	closed := c.await(crowdAnswerTimeout, func() bool { return c.countDescriptors() <= c.descriptors+ownDescriptors })
	if ask != nil {
		c.requireAnswer("after the crowd has left", ask)
	}
	c.requireAnswer("after the crowd has left", c.askFront)
	peak := c.memory("VmHWM")
	c.t.Logf("peak memory %d MB, descriptors %d before, %d at the peak, %d at the end",
		peak>>20, c.descriptors, c.peakDescriptors.Load(), c.countDescriptors())
	switch {
	case c.ranAway.Load():
		c.t.Errorf("process took over %d MB, want %d MB at most", runawayBytes>>20, crowdMemoryMB)
	case !c.alive():
		c.t.Errorf("process ended: %v", c.cmd.ProcessState)
	case peak > crowdMemoryMB<<20:
		c.t.Errorf("peak memory is %d MB, want %d MB at most", peak>>20, crowdMemoryMB)
	case int(c.peakDescriptors.Load()) > connections+ownDescriptors:
		c.t.Errorf("%d descriptors were open, want %d connections and %d others at most", c.peakDescriptors.Load(), connections, ownDescriptors)
	case !closed:
		c.t.Errorf("%d descriptors are open after the crowd has left, want %d at most", c.countDescriptors(), c.descriptors+ownDescriptors)
	}
}

// requireAnswer repeats an ordinary request until it is answered in full.
func (c *crowd) requireAnswer(when string, ask func() error) {
	c.t.Helper()
	err := ask()
	answered := err == nil || c.await(crowdAnswerTimeout, func() bool {
		time.Sleep(crowdRetryPause)
		err = ask()
		return err == nil
	})
	if !answered {
		c.t.Errorf("ordinary request %s: %v", when, err)
	}
}

// askFront sends a query on a new connection and compares the answer with the first one.
func (c *crowd) askFront() error {
	c.requests++
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: crowdAttemptTimeout}
	a, err := platformtest.SendRequest(client, c.site.FrontAddresses[0], http.MethodGet, "/search/x", fmt.Sprintf("ordinary-%d", c.requests), crowdAttemptTimeout)
	switch {
	case err != nil:
		return err
	case a.Status != http.StatusOK || a.Missing > 0:
		return fmt.Errorf("status %d with %d parts missing, want 200 with none", a.Status, a.Missing)
	case c.body == "":
		c.body = a.Body
	case a.Body != c.body:
		return fmt.Errorf("body %q, want %q", a.Body, c.body)
	}
	return nil
}

// askPath returns a function that gets a path of an address on a new connection.
func askPath(address, path string) func() error {
	return func() error {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: crowdAttemptTimeout}
		resp, err := client.Get("http://" + address + path)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if _, err = io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d, want 200", resp.StatusCode)
		}
		return err
	}
}
