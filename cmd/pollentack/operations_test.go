package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/edge/callerclient"
)

const (
	operationsPage = "../../docs/OPERATIONS.md"
	firstExample   = "../../examples/first"
)

var (
	exampleAddressPattern = regexp.MustCompile(`127\.0\.0\.1:7[34]\d\d`)
	exitCommentPattern    = regexp.MustCompile(`^(.*) # exit (\d)$`)
	argumentPattern       = regexp.MustCompile(`"[^"]*"|\S+`)
)

// docCommand is one pollentack command line on the operations page and its expected exit code.
type docCommand struct {
	args     []string
	exitCode int
}

// TestOperationsPage runs every command of docs/OPERATIONS.md in order, against a copy of
// examples/first on free ports, and compares the exit codes.
func TestOperationsPage(t *testing.T) {
	c, rewrite := startExampleCluster(t)
	commands := readDocCommands(t, rewrite)
	if len(commands) < 10 {
		t.Fatalf("the page has %d commands, want at least 10", len(commands))
	}
	for _, command := range commands {
		cmd := exec.Command(os.Args[0], command.args...)
		cmd.Dir = c.dir
		cmd.Env = append(os.Environ(), runCommandEnv+"=1")
		out, _ := cmd.CombinedOutput()
		if got := cmd.ProcessState.ExitCode(); got != command.exitCode {
			t.Errorf("pollentack %s: exit code %d, want %d\n%s", strings.Join(command.args, " "), got, command.exitCode, out)
		}
	}
	timer := time.AfterFunc(gracefulStopTimeout, func() { _ = c.hosts[2].cmd.Process.Kill() })
	defer timer.Stop()
	if err := c.hosts[2].cmd.Wait(); err != nil {
		t.Errorf("drained host exited with %v", err)
	}
}

// gracefulStopTimeout is the maximum duration of a graceful shutdown in these tests.
const gracefulStopTimeout = 20 * time.Second

// readDocCommands returns the pollentack commands of the operations page, with their
// example addresses replaced by rewrite.
func readDocCommands(t *testing.T, rewrite func(string) string) []docCommand {
	t.Helper()
	text, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	var commands []docCommand
	for line := range strings.Lines(string(text)) {
		command, ok := strings.CutPrefix(strings.TrimSpace(line), "$ pollentack ")
		if !ok {
			continue
		}
		code := 0
		if m := exitCommentPattern.FindStringSubmatch(command); m != nil {
			command = m[1]
			code, _ = strconv.Atoi(m[2])
		}
		var args []string
		for _, arg := range argumentPattern.FindAllString(rewrite(command), -1) {
			args = append(args, strings.Trim(arg, `"`))
		}
		commands = append(commands, docCommand{args: args, exitCode: code})
	}
	return commands
}

// startExampleCluster starts the processes of examples/first on free ports. It also returns
// the function that replaces the addresses of the example in a text by those in use.
func startExampleCluster(t *testing.T) (*cluster, func(string) string) {
	t.Helper()
	client, err := callerclient.New()
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{t: t, dir: t.TempDir(), client: client}
	rewrite := copyExample(t, c.dir)
	examplePath := func(name string) string { return filepath.Join(c.dir, "examples/first", name) }
	c.standin = c.command("standin", examplePath("standin.ini"))
	for _, n := range []string{"1", "2", "3"} {
		c.hosts = append(c.hosts, &hostProcess{
			name:  "host-" + n,
			front: rewrite("127.0.0.1:73" + n + "0"),
			admin: rewrite("127.0.0.1:73" + n + "1"),
			cmd:   c.command("serve", examplePath("host-"+n+".ini")),
		})
	}
	t.Cleanup(c.killAll)
	for _, h := range c.hosts {
		c.awaitNote(h, 1)
		c.await(h.name+" to know all peers", func() bool {
			status, ok := c.status(h)
			return ok && len(status.Peers) == len(c.hosts)-1
		})
	}
	return c, rewrite
}

// copyExample copies the settings and notes of examples/first to dir with free ports, and
// returns the function that replaces the example's addresses in a text.
func copyExample(t *testing.T, dir string) func(string) string {
	t.Helper()
	files, err := filepath.Glob(firstExample + "/*.ini")
	if err != nil {
		t.Fatal(err)
	}
	faultyFiles, err := filepath.Glob(firstExample + "/bad/*.ini")
	if err != nil {
		t.Fatal(err)
	}
	const addresses = 40
	ports := freePorts(t, addresses)
	replacements := map[string]string{}
	rewrite := func(text string) string {
		return exampleAddressPattern.ReplaceAllStringFunc(text, func(old string) string {
			if replacements[old] == "" {
				replacements[old] = loopbackAddress(ports[len(replacements)])
			}
			return replacements[old]
		})
	}
	for _, file := range append(files, faultyFiles...) {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		rel, err := filepath.Rel("../..", file)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(dir, rel)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(rewrite(string(text))), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return rewrite
}
