package main

import (
	"bytes"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/testbed"
	"pollentack.example/pollentack/platform/platformtest"
)

func TestSettingsErrorsNameTheFile(t *testing.T) {
	file := &settingsFile{path: filepath.Join(t.TempDir(), "settings.yaml")}
	if _, err := file.load(); err == nil || !strings.Contains(err.Error(), file.path) {
		t.Errorf("missing file: %v", err)
	}
	if err := os.WriteFile(file.path, []byte("zone: 1"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := file.load(); err == nil || !strings.Contains(err.Error(), file.path) {
		t.Errorf("invalid file: %v", err)
	}
}

// TestSettingsReload changes the settings file of a running gateway process with and
// without SIGHUP, and once to an invalid value, which must be reported.
func TestSettingsReload(t *testing.T) {
	dir := t.TempDir()
	site, err := platformtest.StartSite(dir, platformtest.SiteConfig{
		Hosts: 1, Zones: 1, Shards: 2, ServiceTime: time.Millisecond, BasePort: freePortRange(t, platformtest.PortsPerHost),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	path, logPath := site.SettingsFiles[0], filepath.Join(dir, "log")
	log, err := os.Create(logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(os.Args[0], "gateway", "--settings", path)
	cmd.Env = append(os.Environ(), runCommandEnv+"=1")
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Process.Kill(); _ = cmd.Wait() }()

	serves := func() bool {
		a, err := platformtest.SendRequest(http.DefaultClient, site.FrontAddresses[0], http.MethodGet, "/search/x", "1", time.Second)
		return err == nil && a.Status == http.StatusOK
	}
	awaitCondition(t, "the gateway to serve", serves)
	logged := func(words ...string) func() bool {
		return func() bool { return logContains(t, logPath, words...) }
	}
	change := func(old, changed string) {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Contains(text, []byte(old)) {
			t.Fatalf("the settings do not contain %q", old)
		}
		if err := os.WriteFile(path, bytes.Replace(text, []byte(old), []byte(changed), 1), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	sendHUP := func() {
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	sendHUP()
	awaitCondition(t, "the unchanged file to be logged", logged("settings_unchanged"))
	change("retry_slack: 58", "retry_slack: 21")
	sendHUP()
	awaitCondition(t, "a change with SIGHUP to be applied", logged("settings_in_force", `"retry_slack":21`, `"start_needed":false`))
	change("retry_slack: 21", "retry_slack: -1")
	sendHUP()
	awaitCondition(t, "the invalid setting to be reported", logged("reload_failed", "retry_slack"))
	change("retry_slack: -1", "retry_slack: 33")
	awaitCondition(t, "a change without SIGHUP to be applied", logged("settings_in_force", `"retry_slack":33`))
	if !serves() {
		t.Error("the gateway no longer serves")
	}
}

// logContains reports whether a line of the file contains all substrings.
func logContains(t *testing.T, path string, substrings ...string) bool {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		all := true
		for _, w := range substrings {
			all = all && strings.Contains(line, w)
		}
		if all {
			return true
		}
	}
	return false
}

func awaitCondition(t *testing.T, what string, done func() bool) {
	t.Helper()
	if err := testbed.Await(what, done); err != nil {
		t.Fatal(err)
	}
}
