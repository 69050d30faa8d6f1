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
	pageAddress = regexp.MustCompile(`127\.0\.0\.1:7[34]\d\d`)
	pageExit    = regexp.MustCompile(`^(.*) # exit (\d)$`)
	pageWord    = regexp.MustCompile(`"[^"]*"|\S+`)
)

// pageCommand is one command of the operators' page.
type pageCommand struct {
	args []string
	exit int
}

// TestOperationsPage runs every command of docs/OPERATIONS.md, in order, on a copy of the
// example site with free ports.
func TestOperationsPage(t *testing.T) {
	s, rewrite := exampleSite(t)
	commands := readPage(t, rewrite)
	if len(commands) < 10 {
		t.Fatalf("the page has only %d commands", len(commands))
	}
	for _, c := range commands {
		cmd := exec.Command(os.Args[0], c.args...)
		cmd.Dir = s.dir
		cmd.Env = append(os.Environ(), commandEnv+"=1")
		out, _ := cmd.CombinedOutput()
		if got := cmd.ProcessState.ExitCode(); got != c.exit {
			t.Errorf("pollentack %s: exit code %d, want %d\n%s", strings.Join(c.args, " "), got, c.exit, out)
		}
	}
	timer := time.AfterFunc(stopTimeout, func() { _ = s.hosts[2].cmd.Process.Kill() })
	defer timer.Stop()
	if err := s.hosts[2].cmd.Wait(); err != nil {
		t.Errorf("the drained host: %v", err)
	}
}

// stopTimeout bounds a graceful shutdown in these tests.
const stopTimeout = 20 * time.Second

func readPage(t *testing.T, rewrite func(string) string) []pageCommand {
	t.Helper()
	text, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	var commands []pageCommand
	for line := range strings.Lines(string(text)) {
		command, ok := strings.CutPrefix(strings.TrimSpace(line), "$ pollentack ")
		if !ok {
			continue
		}
		exit := 0
		if m := pageExit.FindStringSubmatch(command); m != nil {
			command = m[1]
			exit, _ = strconv.Atoi(m[2])
		}
		var args []string
		for _, word := range pageWord.FindAllString(rewrite(command), -1) {
			args = append(args, strings.Trim(word, `"`))
		}
		commands = append(commands, pageCommand{args: args, exit: exit})
	}
	return commands
}

// exampleSite starts the processes of examples/first with each of its addresses replaced
// by a free one, and returns the replacement.
func exampleSite(t *testing.T) (*site, func(string) string) {
	t.Helper()
	client, err := callerclient.New()
	if err != nil {
		t.Fatal(err)
	}
	s := &site{t: t, dir: t.TempDir(), client: client}
	rewrite := copyExample(t, s.dir)
	at := func(name string) string { return filepath.Join(s.dir, "examples/first", name) }
	s.standin = s.command("standin", at("standin.ini"))
	for _, n := range []string{"1", "2", "3"} {
		s.hosts = append(s.hosts, &hostProcess{
			name:  "host-" + n,
			front: rewrite("127.0.0.1:73" + n + "0"),
			admin: rewrite("127.0.0.1:73" + n + "1"),
			cmd:   s.command("serve", at("host-"+n+".ini")),
		})
	}
	t.Cleanup(s.stop)
	for _, h := range s.hosts {
		s.awaitNote(h, 1)
		s.await("all peers of "+h.name, func() bool {
			st, ok := s.status(h)
			return ok && len(st.Peers) == len(s.hosts)-1
		})
	}
	return s, rewrite
}

func copyExample(t *testing.T, dir string) func(string) string {
	t.Helper()
	files, err := filepath.Glob(firstExample + "/*.ini")
	if err != nil {
		t.Fatal(err)
	}
	bad, err := filepath.Glob(firstExample + "/bad/*.ini")
	if err != nil {
		t.Fatal(err)
	}
	const addresses = 40
	ports := freePorts(t, addresses)
	known := map[string]string{}
	rewrite := func(text string) string {
		return pageAddress.ReplaceAllStringFunc(text, func(old string) string {
			if known[old] == "" {
				known[old] = address(ports[len(known)])
			}
			return known[old]
		})
	}
	for _, file := range append(files, bad...) {
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
