package main

import (
	"bufio"
	"errors"
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

	"pollentack.example/pollentack/platform/platformtest"
)

// oneHost is a gateway or a host of the JSON front end that a test starts as a process.
type oneHost struct {
	t    *testing.T
	site *platformtest.Site
	// args are the arguments of the process, and firstPort is the first of its ports.
	args      []string
	firstPort int
	cmd       *exec.Cmd
}

// newGateway returns a gateway that has not been started yet, with its platform.
func newGateway(t *testing.T) *oneHost {
	t.Helper()
	port := freePortRange(t, platformtest.PortsPerHost)
	site, err := platformtest.StartSite(t.TempDir(), platformtest.SiteConfig{Hosts: 1, Zones: 2, Shards: 2, BasePort: port})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	return &oneHost{t: t, site: site, args: []string{"gateway", "--settings", site.SettingsFiles[0]}, firstPort: port}
}

// newEntryHost returns a host of the JSON front end whose platform does not answer.
func newEntryHost(t *testing.T) *oneHost {
	t.Helper()
	ports := freePorts(t, portsPerHost+1)
	path := filepath.Join(t.TempDir(), "host.ini")
	text := fmt.Sprintf("[host]\nname = h\navailability-zone = z\n[listen]\nfront = %s\nadmin = %s\nmesh = %s\n[platform]\naddress = %s\n",
		loopbackAddress(ports[0]), loopbackAddress(ports[1]), loopbackAddress(ports[2]), loopbackAddress(ports[3]))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return &oneHost{t: t, args: []string{"serve", path}, firstPort: ports[0]}
}

// start starts the process with its standard output and standard error on out.
func (h *oneHost) start(out *os.File) {
	h.t.Helper()
	h.cmd = exec.Command(os.Args[0], h.args...)
	h.cmd.Env = append(os.Environ(), runCommandEnv+"=1")
	h.cmd.Stdout, h.cmd.Stderr = out, out
	if err := h.cmd.Start(); err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = h.cmd.Process.Kill(); _ = h.cmd.Wait() })
}

// awaitServing waits until the gateway answers an ordinary request.
func (h *oneHost) awaitServing() {
	h.t.Helper()
	awaitCondition(h.t, "the gateway to serve", func() bool {
		a, err := platformtest.SendRequest(http.DefaultClient, h.site.FrontAddresses[0], http.MethodGet, "/search/x", "1", time.Second)
		return err == nil && a.Status == http.StatusOK
	})
}

// stop sends SIGTERM and expects the process to end with exit code 0.
func (h *oneHost) stop() {
	h.t.Helper()
	if err := h.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		h.t.Fatal(err)
	}
	timer := time.AfterFunc(gracefulStopTimeout, func() { _ = h.cmd.Process.Kill() })
	defer timer.Stop()
	if err := h.cmd.Wait(); err != nil {
		h.t.Errorf("after SIGTERM the process ended with %v, want exit code 0", err)
	}
}

// TestUnreadLogDoesNotHoldUpTheEnd guards against a host that does not end because nobody reads
// the pipe with its log.
func TestUnreadLogDoesNotHoldUpTheEnd(t *testing.T) {
	for name, newHost := range map[string]func(*testing.T) *oneHost{"gateway": newGateway, "serve": newEntryHost} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t)
			reader := h.startWithPipe(t)
			defer func() { _ = reader.Close() }()
			fillPipe(t, reader)
			h.stop()
		})
	}
}

// TestLogReaderThatWentAwayDoesNotEndTheHost guards against a host that is ended by SIGPIPE as it
// writes to its log after the log's reader has gone.
func TestLogReaderThatWentAwayDoesNotEndTheHost(t *testing.T) {
	for name, newHost := range map[string]func(*testing.T) *oneHost{"gateway": newGateway, "serve": newEntryHost} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t)
			_ = h.startWithPipe(t).Close()
			if h.site != nil {
				h.awaitServing()
			}
			h.stop() // is logged, too
		})
	}
}

// startWithPipe starts the process with its output on a pipe, and returns the pipe's reader once
// the host has started.
func (h *oneHost) startWithPipe(t *testing.T) *os.File {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	h.start(writer)
	_ = writer.Close()
	lines := bufio.NewScanner(reader)
	for lines.Scan() {
		if strings.Contains(lines.Text(), "gateway_started") || strings.Contains(lines.Text(), "host_started") {
			return reader
		}
	}
	t.Fatal("the process ended before it had started")
	return nil
}

// fillPipe fills the pipe, so that the next write to it blocks.
func fillPipe(t *testing.T, reader *os.File) {
	t.Helper()
	fd, err := syscall.Open(fmt.Sprintf("/proc/self/fd/%d", reader.Fd()), syscall.O_WRONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(fd) }()
	for size := 4096; size > 0; {
		if _, err = syscall.Write(fd, make([]byte, size)); errors.Is(err, syscall.EAGAIN) {
			size /= 2
		} else if err != nil {
			t.Fatal(err)
		}
	}
}

// TestHeldPortDoesNotEndTheHost guards against a host that ends because another process holds one
// of its ports at its start: an earlier one that is still stopping, or an outgoing connection. The
// host must serve once the port is free, without its port for operators in any case, and end if it
// is told to.
func TestHeldPortDoesNotEndTheHost(t *testing.T) {
	hosts := map[string]func(*testing.T) *oneHost{"gateway": newGateway, "serve": newEntryHost}
	for _, tt := range []struct {
		host string
		port int
	}{{"gateway", 0}, {"gateway", 1}, {"gateway", 2}, {"gateway", metricsPort}, {"serve", 0}, {"serve", 1}, {"serve", 2}} {
		t.Run(fmt.Sprintf("%s port %d", tt.host, tt.port), func(t *testing.T) {
			t.Parallel()
			h := hosts[tt.host](t)
			held, err := net.Listen("tcp", loopbackAddress(h.firstPort+tt.port))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = held.Close() }()
			log, err := os.Create(filepath.Join(t.TempDir(), "log"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = log.Close() }()
			h.start(log)
			awaitCondition(t, "the held port to be logged", func() bool { return logContains(t, log.Name(), "listen_failed", held.Addr().String()) })
			if tt.port != metricsPort {
				h.stop()
				h.start(log)
				_ = held.Close()
			}
			if h.site != nil {
				h.awaitServing()
			} else {
				awaitCondition(t, "the host to listen", func() bool {
					conn, err := net.Dial("tcp", held.Addr().String())
					return err == nil && conn.Close() == nil
				})
			}
			h.stop()
		})
	}
}

// metricsPort is the position of a gateway's port for operators among its ports.
const metricsPort = 3

// TestSettingsThatAreNotThereYet guards against a host that ends because its settings file is
// missing, empty or half-written as it starts. It must serve once the file is whole, and end if it
// is told to before.
func TestSettingsThatAreNotThereYet(t *testing.T) {
	h := newGateway(t)
	path := h.site.SettingsFiles[0]
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	logged := func(words ...string) {
		t.Helper()
		awaitCondition(t, "the reason to wait to be logged", func() bool { return logContains(t, log.Name(), words...) })
	}
	for _, stopped := range []bool{true, false} {
		h.start(log)
		logged("settings_unusable", "no such file")
		if stopped {
			h.stop()
		}
	}
	for size, reason := range map[int]string{0: "node_name is missing", len(text) - len("\"}\n"): "decode: yaml"} {
		if err := os.WriteFile(path, text[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		logged("settings_unusable", reason)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	h.awaitServing()
	h.stop()
}

// initPipeEnv is an environment variable with a pipe that a process opens and reads to its end
// while its packages are initialized.
const initPipeEnv = "POLLENTACK_TEST_INIT_PIPE"

var _ = readInitPipe()

func readInitPipe() error {
	if path := os.Getenv(initPipeEnv); path != "" {
		_, err := os.ReadFile(path)
		return err
	}
	return nil
}

// TestHangupDuringInitializationDoesNotEndTheHost guards against a SIGHUP that ends a process whose
// packages are still being initialized, before main could ask for the signal.
func TestHangupDuringInitializationDoesNotEndTheHost(t *testing.T) {
	pipe := filepath.Join(t.TempDir(), "pipe")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	h := newGateway(t)
	t.Setenv(initPipeEnv, pipe)
	h.start(nil)
	writer, err := os.OpenFile(pipe, os.O_WRONLY, 0) // waits until the process reads
	if err != nil {
		t.Fatal(err)
	}
	if err := h.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // lets the signal arrive before the end of the pipe
	_ = writer.Close()
	h.awaitServing()
	h.stop()
}
