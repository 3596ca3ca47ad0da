package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelyard/platform/standin"
)

const (
	// crowdMemoryMB is the memory of each process in MB, and crowdDescriptors the number of its descriptors: a half and
	// a quarter of those of the smallest hosts.
	crowdMemoryMB    = 142
	crowdDescriptors = 1025
	// crowdFreeDescriptors is how many of these must stay free.
	crowdFreeDescriptors = 50
	// crowdHold is how long a crowd stays after its last member has sent something.
	crowdHold = 2 * time.Second
	// crowdReconnects bounds how often a member of a crowd connects again.
	crowdReconnects     = 200
	crowdReconnectDelay = 50 * time.Millisecond
	// crowdCallLimit bounds one ordinary call, which is repeated until it succeeds.
	crowdCallLimit = 3 * time.Second
	// crowdLogBytes is what is printed of a log if a test fails.
	crowdLogBytes = 2000
	// crowdConfigRoutes makes a configuration of about a megabyte.
	crowdConfigRoutes = 6000
)

// crowd is a number of clients that misbehave in the same way.
type crowd struct {
	members int
	// send sends what a member sends after it has connected.
	send func(conn net.Conn, member int) error
	// reads is set if members read what they are sent.
	reads bool
	// play, if set, replaces both: it plays one connection of a member and calls sent once.
	play func(conn net.Conn, member int, sent func())
}

// short returns text as what a member sends.
func short(text string) func(net.Conn, int) error {
	return func(conn net.Conn, _ int) error {
		_, err := io.WriteString(conn, text)
		return err
	}
}

// repeated returns head, then count times text, then tail as what a member sends.
func repeated(head, text string, count int, tail string) func(net.Conn, int) error {
	return short(head + strings.Repeat(text, count) + tail)
}

// manyFields returns the head of a request with 9,000 different fields in 54 KB, without its end.
func manyFields(method, path string) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: crowd\r\nDeadline-Ms: 10000\r\nContent-Length: 4\r\n", method, path, standin.Hostname)
	for i := range 9000 {
		name := strconv.FormatInt(int64(i)+10*36*36, 36)
		_, _ = fmt.Fprintf(&b, "%s:\r\n", name)
	}
	return b.String()
}

// crowds returns the crowds of clients of an HTTP port that serves a path with GET.
func crowds(path string) map[string]crowd {
	head := "GET " + path + " HTTP/1.1\r\nHost: " + standin.Hostname + "\r\n"
	post := "POST " + path + " HTTP/1.1\r\nHost: " + standin.Hostname + "\r\nRequest-Id: crowd\r\nDeadline-Ms: 10000\r\n"
	return map[string]crowd{
		"many fields without end":   {members: 300, reads: true, send: short(manyFields("GET", path))},
		"many fields":               {members: 300, reads: true, send: short(manyFields("POST", path) + "\r\n")},
		"a long field without end":  {members: 2000, reads: true, send: repeated(head+"A: ", "a", 60_000, "")},
		"no bytes":                  {members: 1500, reads: true, send: short("")},
		"half a head":               {members: 1500, reads: true, send: short(head)},
		"one request, then nothing": {members: 1500, reads: true, send: short(head + "Request-Id: crowd\r\n\r\n")},
		"a long body without end":   {members: 300, reads: true, send: repeated(post+"Content-Length: 4000000\r\n\r\n", "a", 1_000_000, "")},
		"a long body of chunks":     {members: 300, reads: true, send: repeated(post+"Transfer-Encoding: chunked\r\n\r\n", "1000\r\n"+strings.Repeat("a", 4096)+"\r\n", 256, "")},
		"a message without end":     {members: 600, reads: true, send: repeated("POST "+path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 250000\r\n\r\n", "a", 240_000, "")},
		"large responses, not read": {members: 300, send: short(head + "Request-Id: crowd\r\nDeadline-Ms: 10000\r\nWanted-Bytes: 4000000\r\n\r\n")},
		"empty lines":               {members: 300, reads: true, send: repeated("", "\r\n", 100_000, "")},
		"pipelined, not read":       {members: 300, send: repeated("", head+"Request-Id: crowd\r\n\r\n", 200, "")},
	}
}

// run plays a crowd at an address until ctx ends. sent is closed once each member has sent something.
func (c crowd) run(ctx context.Context, address string) (sent <-chan struct{}, wait func()) {
	all := make(chan struct{})
	var first, done sync.WaitGroup
	for member := range c.members {
		first.Add(1)
		done.Go(func() {
			connected := sync.OnceFunc(first.Done)
			defer connected()
			for range crowdReconnects {
				c.connect(ctx, address, member, connected)
				select {
				case <-ctx.Done():
					return
				case <-time.After(crowdReconnectDelay):
				}
			}
		})
	}
	go func() {
		defer close(all)
		first.Wait()
	}()
	return all, done.Wait
}

// connect plays one connection of a member until the other end closes it.
func (c crowd) connect(ctx context.Context, address string, member int, sent func()) {
	conn, err := (&net.Dialer{Timeout: crowdCallLimit}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })()
	// What does not fit into the buffers of a host that does not read is not sent.
	_ = conn.SetWriteDeadline(time.Now().Add(crowdCallLimit))
	if c.play != nil {
		c.play(conn, member, sent)
		return
	}
	err = c.send(conn, member)
	sent()
	if !c.reads {
		<-ctx.Done()
		return
	}
	if err == nil || isTimeout(err) {
		_, _ = io.Copy(io.Discard, conn)
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// crowdCase is a deployment of one control host, one entry and one backend server.
type crowdCase struct {
	*soak
	t *testing.T
}

func builtProgramFile() string {
	return filepath.Join(os.TempDir(), fmt.Sprint("fennelyard-crowd-", os.Getpid()))
}

// removeBuiltProgram removes what builtProgram has built, if it has.
func removeBuiltProgram() { _ = os.Remove(builtProgramFile()) }

// builtProgram builds the program once: with the race detector, as in the tests, it would take several times the memory.
var builtProgram = sync.OnceValues(func() (string, error) {
	file := builtProgramFile()
	out, err := exec.Command("go", "build", "-o", file, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return file, nil
})

// limitedCommand returns a command of the program that may open crowdDescriptors descriptors.
func limitedCommand(t *testing.T, args ...string) *exec.Cmd {
	t.Helper()
	program, err := builtProgram()
	require.NoError(t, err)
	return exec.Command("sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, crowdDescriptors), program}, args...)...)
}

func newCrowdCase(t *testing.T) *crowdCase {
	l, err := net.Listen("tcp", "127.0.3.1:0")
	require.NoError(t, err)
	port := l.Addr().(*net.TCPAddr).Port
	require.NoError(t, l.Close())
	c := &crowdCase{t: t, soak: &soak{
		t: t, cluster: &cluster{t: t, processes: map[string]*process{}, maxLogBytes: crowdLogBytes}, port: port, folder: t.TempDir(), serversCtx: t.Context(), runs: map[string]int{},
	}}
	t.Cleanup(c.cluster.close)
	c.startLimited("core-0", c.controlIP(0), fmt.Sprintf("data-folder: %s\noperator-address: %s:%d\n", filepath.Join(c.folder, "core-0"), c.controlIP(0), port+1))
	c.startEntry(0)
	c.eventually("a configuration", func() bool {
		status, _ := c.call(http.MethodPut, c.operatorURL(0)+standin.ConfigPath, standin.LargeConfig(1, crowdConfigRoutes), nil, crowdCallLimit)
		return status == http.StatusOK
	})
	c.startServer()
	c.eventually("a response of the backend server", c.served)
	return c
}

func (c *crowdCase) startLimited(name, ip, rest string) {
	text := fmt.Sprintf("host: %s\ndata-centre: a\nip: %s\npeer-port: %d\nmetrics-port: %d\nseeds: [\"%s:%d\"]\nfounding: true\nannounce-every: 200ms\nmemory-mb: %d\n%s",
		name, ip, c.port, c.port+5, c.controlIP(0), c.port+1, crowdMemoryMB, rest)
	file := filepath.Join(c.folder, name+".yaml")
	require.NoError(c.t, os.WriteFile(file, []byte(text), 0o600))
	c.cluster.startCommand(name, limitedCommand(c.t, "join", "--settings", file))
}

func (c *crowdCase) startEntry(i int) {
	ip := c.entryIP(i)
	c.startLimited(fmt.Sprint("entry-", i), ip, fmt.Sprintf("caller-address: %s:%d\nready-address: %s:%d\ndirectory-address: %s:%d\n", ip, c.port+2, ip, c.port+3, ip, c.port+4))
}

// startServer starts a backend server, which announces itself until the test ends.
func (c *crowdCase) startServer() {
	l := c.listenServer(0)
	h := &http.Server{ReadHeaderTimeout: waitLimit, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !standin.AnswerHealthCheck(w, r, "i-0") {
			id, _, _ := standin.BeginResponse(w, r)
			_, _ = io.WriteString(w, "answer "+id)
			if n, err := strconv.Atoi(r.Header.Get("Wanted-Bytes")); err == nil {
				_, _ = w.Write(make([]byte, n))
			}
		}
	})}
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	wg.Go(func() { _ = h.Serve(l) })
	startMs := time.Now().UnixMilli()
	wg.Go(func() {
		for sequence := 1; ctx.Err() == nil; sequence++ {
			path, body := standin.Announcement("i-0", l.Addr().String(), "v1", startMs, sequence)
			c.call(http.MethodPut, c.operatorURL(0)+path, body, nil, time.Second)
			select {
			case <-ctx.Done():
			case <-time.After(200 * time.Millisecond):
			}
		}
	})
	c.t.Cleanup(func() {
		cancel()
		_ = h.Close()
		wg.Wait()
	})
}

func (c *crowdCase) eventually(what string, met func() bool) {
	c.t.Helper()
	require.Eventually(c.t, met, waitLimit, 100*time.Millisecond, what)
}

// served reports whether the entry serves an ordinary request.
func (c *crowdCase) served() bool {
	url := fmt.Sprintf("http://%s:%d/%s/x", c.entryIP(0), c.port+2, standin.SafeRoute)
	status, _ := c.call(http.MethodPost, url, "body", standin.RequestHeader(fmt.Sprint("ordinary-", rand.Uint64()), 2000), crowdCallLimit)
	return status == http.StatusOK
}

// get returns a check of whether an address responds to GET with 200.
func (c *crowdCase) get(url string) func() bool {
	return func() bool {
		status, _ := c.call(http.MethodGet, url, "", nil, crowdCallLimit)
		return status == http.StatusOK
	}
}

// play plays a crowd at an address of a process. While it is there and after it has left, each of the ordinary calls must succeed,
// and the process must live within its memory and descriptors.
func play(t *testing.T, c crowd, address string, p *process, ordinary ...func() bool) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	sent, wait := c.run(ctx, address)
	stop := sync.OnceFunc(func() {
		cancel()
		wait()
	})
	defer stop()
	watched := make(chan int)
	go func() { watched <- mostDescriptors(ctx, p) }()
	<-sent
	hold := time.After(crowdHold)
	for _, call := range ordinary {
		assert.Eventually(t, call, waitLimit/2, 100*time.Millisecond, "no ordinary call succeeds beside the crowd")
	}
	<-hold
	stop()
	descriptors := <-watched
	select {
	case <-p.done:
		require.Fail(t, "the process has ended")
	default:
	}
	for _, call := range ordinary {
		assert.Eventually(t, call, waitLimit/2, 100*time.Millisecond, "no ordinary call succeeds after the crowd")
	}
	memory := mostMemoryMB(t, p)
	t.Logf("most memory %d MB of %d, most descriptors %d of %d", memory, crowdMemoryMB, descriptors, crowdDescriptors)
	assert.LessOrEqual(t, memory, crowdMemoryMB, "memory in MB")
	assert.LessOrEqual(t, descriptors, crowdDescriptors-crowdFreeDescriptors, "descriptors")
}

// mostDescriptors returns the most descriptors that a process has had until ctx ends.
func mostDescriptors(ctx context.Context, p *process) int {
	most := 0
	for ctx.Err() == nil {
		// The folder is gone once the process has ended.
		open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		most = max(most, len(open))
		time.Sleep(50 * time.Millisecond)
	}
	return most
}

// mostMemoryMB returns the most resident memory that a process has had, in MB.
func mostMemoryMB(t *testing.T, p *process) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(t, err)
	var kb int
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	_, err = fmt.Sscan(rest, &kb)
	require.NoError(t, err)
	return kb >> 10
}

// A crowd at one port of a host, each member within the bounds of a connection, takes the memory or the descriptors of
// the process.
func TestCrowdsAtHosts(t *testing.T) {
	type port struct {
		name, process string
		address       func(c *crowdCase) string
		path          string
		crowds        []string
	}
	heads := []string{"many fields without end", "many fields", "a long field without end"}
	waiting := []string{"no bytes", "half a head", "one request, then nothing"}
	bodies := []string{"a long body without end", "a long body of chunks"}
	entry := func(offset int) func(c *crowdCase) string {
		return func(c *crowdCase) string { return fmt.Sprintf("%s:%d", c.entryIP(0), c.port+offset) }
	}
	control := func(offset int) func(c *crowdCase) string {
		return func(c *crowdCase) string { return fmt.Sprintf("%s:%d", c.controlIP(0), c.port+offset) }
	}
	join := func(lists ...[]string) (out []string) {
		for _, l := range lists {
			out = append(out, l...)
		}
		return out
	}
	other := []string{"empty lines", "pipelined, not read"}
	responses := []string{"large responses, not read"}
	for _, p := range []port{
		{"callers", "entry-0", entry(2), "/" + standin.SafeRoute + "/x", join(heads, waiting, bodies, other, responses)},
		{"readiness", "entry-0", entry(3), "/v1/ready", []string{"many fields", "no bytes"}},
		{"directory", "entry-0", entry(4), "/v1/resolve", []string{"many fields", "one request, then nothing"}},
		{"hosts of an entry", "entry-0", entry(0), "/cooldown", join(heads, waiting[:1])},
		{"evidence of entries", "entry-0", entry(0), "/suspects", []string{"a message without end"}},
		{"metrics", "entry-0", entry(5), "/metrics", []string{"many fields", "no bytes", "pipelined, not read"}},
		{"operators", "core-0", control(1), standin.ConfigPath, join(heads, waiting, bodies, other)},
		{"metrics of a control host", "core-0", control(5), "/metrics", []string{"many fields without end", "half a head"}},
	} {
		for _, name := range p.crowds {
			t.Run(p.name+"/"+name, func(t *testing.T) {
				c := newCrowdCase(t)
				members := crowds(p.path)[name]
				if p.name == "operators" && strings.Contains(name, "body") {
					members.send = asPut(members.send)
				}
				ordinary := []func() bool{c.served}
				switch p.name {
				case "operators":
					ordinary = append(ordinary, c.get(c.operatorURL(0)+standin.ConfigPath))
				case "readiness", "directory":
					ordinary = append(ordinary, c.get("http://"+p.address(c)+p.path))
				}
				play(t, members, p.address(c), c.cluster.process(p.process), ordinary...)
			})
		}
	}
}

// crowdsAtAllPorts are the crowds at the ports of a process, by the port's offset.
var crowdsAtAllPorts = map[string]map[int]string{
	"entry-0": {0: "many fields without end", 2: "many fields", 3: "no bytes", 4: "half a head", 5: "a long field without end"},
	"core-0":  {0: "messages without end", 1: "many fields without end", 5: "no bytes"},
}

// Crowds at all ports of an entry at once, or of a control host, take from what is there once.
func TestCrowdsAtAllPorts(t *testing.T) {
	testCrowdsAtAllPorts(t)
}

// A process with one processor collects less garbage than crowds that reconnect make it produce.
func TestCrowdsWithOneProcessor(t *testing.T) {
	t.Setenv("GOMAXPROCS", "1")
	testCrowdsAtAllPorts(t)
}

func testCrowdsAtAllPorts(t *testing.T) {
	for process, ports := range crowdsAtAllPorts {
		t.Run(process, func(t *testing.T) {
			c := newCrowdCase(t)
			ip, path := c.entryIP(0), "/"+standin.SafeRoute+"/x"
			if process == "core-0" {
				ip, path = c.controlIP(0), standin.ConfigPath
			}
			all := crowds(path)
			maps.Copy(all, grpcCrowds())
			ctx, cancel := context.WithCancel(t.Context())
			first := 5
			var waits []func()
			for offset, name := range ports {
				if offset == first {
					continue
				}
				sent, wait := all[name].run(ctx, fmt.Sprintf("%s:%d", ip, c.port+offset))
				waits = append(waits, wait)
				<-sent
			}
			play(t, all[ports[first]], fmt.Sprintf("%s:%d", ip, c.port+first), c.cluster.process(process), c.served)
			cancel()
			for _, wait := range waits {
				wait()
			}
			assert.Eventually(t, c.served, waitLimit/2, 100*time.Millisecond)
		})
	}
}

// The longest head that the stated limits allow, with as many fields as fit into it, is served while nothing else happens.
func TestLongestHeadIsServed(t *testing.T) {
	c := newCrowdCase(t)
	header := standin.RequestHeader("longest", 2000)
	for i := 0; i < 16_000; i += len("x00:\r\n") {
		header[strconv.FormatInt(int64(i)+10*36*36, 36)] = []string{""}
	}
	status, _ := c.call(http.MethodPost, fmt.Sprintf("http://%s:%d/%s/x", c.entryIP(0), c.port+2, standin.SafeRoute), "body", header, crowdCallLimit)
	require.Equal(t, http.StatusOK, status)
}

// asPut returns a send function whose requests have the method PUT in place of POST.
func asPut(send func(net.Conn, int) error) func(net.Conn, int) error {
	return func(conn net.Conn, member int) error {
		return send(&methodConn{Conn: conn}, member)
	}
}

type methodConn struct{ net.Conn }

func (c *methodConn) Write(p []byte) (int, error) {
	return c.Conn.Write([]byte(strings.Replace(string(p), "POST ", "PUT ", 1)))
}
