package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"pollentack.example/pollentack/platform/platformtest"
)

// TestStopBeforeStart sends SIGTERM to a gateway that is still reading its settings, from a pipe
// that the test writes. The process must end by itself, without having served. A SIGTERM that
// follows several SIGHUPs must not be lost.
func TestStopBeforeStart(t *testing.T) {
	for _, hangups := range []int{0, 8} {
		t.Run(fmt.Sprintf("after %d SIGHUPs", hangups), func(t *testing.T) { testStopBeforeStart(t, hangups) })
	}
}

func testStopBeforeStart(t *testing.T, hangups int) {
	dir := t.TempDir()
	site, err := platformtest.StartSite(dir, platformtest.SiteConfig{
		Hosts: 1, Zones: 2, Shards: 1, BasePort: freePortRange(t, platformtest.PortsPerHost),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	text, err := os.ReadFile(site.SettingsFiles[0])
	if err != nil {
		t.Fatal(err)
	}
	pipe := filepath.Join(dir, "settings.pipe")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "gateway", "--settings", pipe)
	cmd.Env = append(os.Environ(), runCommandEnv+"=1")
	var log strings.Builder
	cmd.Stdout, cmd.Stderr = &log, &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	writer, err := os.OpenFile(pipe, os.O_WRONLY, 0) // waits until the process reads
	if err != nil {
		t.Fatal(err)
	}
	for range hangups {
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond) // lets it arrive before the next one
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // lets the signal arrive before the settings
	_, _ = writer.Write(text)
	_ = writer.Close()
	timer := time.AfterFunc(gracefulStopTimeout, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	if err := cmd.Wait(); err != nil {
		t.Errorf("the process ended with %v, want exit code 0\n%s", err, log.String())
	}
	if strings.Contains(log.String(), "gateway_started") {
		t.Errorf("the process served after the signal:\n%s", log.String())
	}
}

// TestFreePortsAreNotEphemeral checks that no port that a test gives to a server can be taken by
// an outgoing connection first.
func TestFreePortsAreNotEphemeral(t *testing.T) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Fatal(err)
	}
	first, err := strconv.Atoi(strings.Fields(string(text))[0])
	if err != nil {
		t.Fatal(err)
	}
	seen := map[int]bool{}
	for range 2 {
		for _, port := range freePorts(t, 20) {
			if port >= first || seen[port] {
				t.Errorf("port %d is ephemeral (from %d) or was returned before", port, first)
			}
			seen[port] = true
		}
	}
}
