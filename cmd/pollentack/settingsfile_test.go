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

func TestSettingsFileNamesItself(t *testing.T) {
	file := &settingsFile{path: filepath.Join(t.TempDir(), "settings.yaml")}
	if _, err := file.load(); err == nil || !strings.Contains(err.Error(), file.path) {
		t.Errorf("missing file: %v", err)
	}
	if err := os.WriteFile(file.path, []byte("zone: 1"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := file.load(); err == nil || !strings.Contains(err.Error(), file.path) {
		t.Errorf("faulty file: %v", err)
	}
}

// TestSettingsChangeWhileServing changes the settings file of a gateway process with and
// without a signal, and once to a file with a fault.
func TestSettingsChangeWhileServing(t *testing.T) {
	dir := t.TempDir()
	site, err := platformtest.StartSite(dir, platformtest.Plan{
		Hosts: 1, Zones: 1, Shards: 2, Work: time.Millisecond, BasePort: freeRange(t, platformtest.PortsPerHost),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	path, logPath := site.Files[0], filepath.Join(dir, "log")
	log, err := os.Create(logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(os.Args[0], "gateway", "--settings", path)
	cmd.Env = append(os.Environ(), commandEnv+"=1")
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Process.Kill(); _ = cmd.Wait() }()

	serves := func() bool {
		a, err := platformtest.Ask(http.DefaultClient, site.Fronts[0], http.MethodGet, "/search/x", "1", time.Second)
		return err == nil && a.Status == http.StatusOK
	}
	awaitTrue(t, "the gateway to serve", serves)
	logged := func(words ...string) func() bool {
		return func() bool { return logHas(t, logPath, words...) }
	}
	change := func(old, changed string) {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Contains(text, []byte(old)) {
			t.Fatalf("the settings hold no %q", old)
		}
		if err := os.WriteFile(path, bytes.Replace(text, []byte(old), []byte(changed), 1), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	hup := func() {
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	hup()
	awaitTrue(t, "an unchanged file to be noted", logged("settings_unchanged"))
	change("retry_slack: 58", "retry_slack: 21")
	hup()
	awaitTrue(t, "a change with a signal", logged("settings_in_force", `"retry_slack":21`, `"start_needed":false`))
	change("retry_slack: 21", "retry_slack: -1")
	hup()
	awaitTrue(t, "a fault to be named", logged("reload_failed", "retry_slack"))
	change("retry_slack: -1", "retry_slack: 33")
	awaitTrue(t, "a change without a signal", logged("settings_in_force", `"retry_slack":33`))
	if !serves() {
		t.Error("the gateway no longer serves")
	}
}

func logHas(t *testing.T, path string, words ...string) bool {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		all := true
		for _, w := range words {
			all = all && strings.Contains(line, w)
		}
		if all {
			return true
		}
	}
	return false
}

func awaitTrue(t *testing.T, what string, done func() bool) {
	t.Helper()
	if err := testbed.Await(what, done); err != nil {
		t.Fatal(err)
	}
}
