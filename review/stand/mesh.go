package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small sites.
const (
	graceS     = 6.0
	heartbeatS = 1.5
	memoryMB   = 284
)

func must(err error) {
	if err != nil {
		fail("%v", err)
	}
}

// fail ends a case that could not run.
func fail(format string, values ...any) {
	record.add("could not run: "+format, values...)
	stopAll()
	record.close()
	fmt.Printf("could not run: "+format+"\n", values...)
	os.Exit(2)
}

// recorder writes record.txt: what was sent, answered and run, with the time since the start.
type recorder struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

var record *recorder

func openRecord(path string) {
	file, err := os.Create(path)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	record = &recorder{file: file, start: time.Now()}
}

func (r *recorder) add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%9.3f  "+format+"\n", append([]any{time.Since(r.start).Seconds()}, values...)...)
}

func (r *recorder) close() { _ = r.file.Close() }

// Ports of the nodes lie below the range from which systems take the ports of outgoing connections.
const (
	firstPort = 20000
	portCount = 10000
)

// freeAddress returns a loopback address whose port was free a moment ago.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
}

// serve runs an HTTP server on a free loopback address.
func serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

// node is one process of the project, started with the command of the deploy file.
type node struct {
	name, zone, service                 string
	caller, peer, admin, ready, control string
	app                                 string
	settings                            string
	command                             *exec.Cmd
	output                              *os.File
	ended                               chan struct{}
}

var (
	folder   string // temporary files
	root     string // of the repository
	started  []*node
	platform string // address of the store
)

// newNode writes the settings of a node, which are the template of the deploy file with its fields filled in.
func newNode(name, service, app string) *node {
	n := &node{
		name: name, zone: "a", service: service, app: app, caller: freeAddress(), peer: freeAddress(),
		admin: freeAddress(), ready: freeAddress(), control: freeAddress(),
	}
	template, err := os.ReadFile(filepath.Join(root, "deploy/settings.yaml"))
	must(err)
	text := string(template)
	for _, pair := range [][2]string{
		{"{{NodeName}}", name},
		{"{{Zone}}", n.zone},
		{"{{Service}}", service},
		{"{{ListenAddrs.Outbound}}", n.caller},
		{"{{ListenAddrs.Inbound}}", n.peer},
		{"{{Ip}}:9464", n.admin},
		{"{{AppAddr}}", app},
		{"{{Platform.Address}}", platform},
		{"{{ListenAddrs.Ready}}", n.ready},
		{"{{ListenAddrs.Control}}", n.control},
		{"{{HeartbeatS}}", fmt.Sprint(heartbeatS)},
		{"{{Bounds.ConfigApplyS}}{{^Bounds.ConfigApplyS}}2{{/Bounds.ConfigApplyS}}", "2"},
		{"{{Bounds.GraceS}}{{^Bounds.GraceS}}6{{/Bounds.GraceS}}", fmt.Sprint(graceS)},
		{"{{Bounds.RetryBudgetRatio}}{{^Bounds.RetryBudgetRatio}}0.2{{/Bounds.RetryBudgetRatio}}", "0.2"},
		{"{{Limits.MemoryMb}}{{^Limits.MemoryMb}}0{{/Limits.MemoryMb}}", fmt.Sprint(memoryMB)},
	} {
		text = strings.ReplaceAll(text, pair[0], pair[1])
	}
	if strings.Contains(text, "{{") {
		fail("the template of the settings has a field that this case does not know:\n%s", text)
	}
	n.settings = filepath.Join(folder, name+".yaml")
	must(os.WriteFile(n.settings, []byte(text), 0o600))
	return n
}

func (n *node) start() {
	program := filepath.Join(root, "target/jasmineproxy")
	n.command = exec.Command(program, "node", "--settings", n.settings)
	n.command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "JASMINEPROXY_SETTINGS=" + n.settings,
	}
	output, err := os.OpenFile(filepath.Join(folder, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	must(err)
	n.output = output
	n.command.Stdout, n.command.Stderr = output, output
	must(n.command.Start())
	n.ended = make(chan struct{})
	command, ended := n.command, n.ended
	go func() {
		err := command.Wait()
		record.add("node %s: process %d ended: %v, last output: %s", n.name, command.Process.Pid, err, n.lastOutput())
		close(ended)
	}()
	started = append(started, n)
	record.add("node %s: process %d started, caller %s, peer %s, control %s", n.name, n.command.Process.Pid, n.caller,
		n.peer, n.control)
}

// lastOutput returns the end of what the node has written.
func (n *node) lastOutput() string {
	text, err := os.ReadFile(n.output.Name())
	must(err)
	return strings.TrimSpace(string(text[max(len(text)-200, 0):]))
}

// running reports whether the process has not ended.
func (n *node) running() bool {
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// stopAll kills all processes that this case started and waits for their ends.
func stopAll() {
	for _, n := range started {
		if n.running() {
			_ = n.command.Process.Signal(syscall.SIGCONT)
			_ = n.command.Process.Kill()
			<-n.ended
		}
	}
}

// isReady asks the readiness check of a node.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func waitFor(what string, limit time.Duration, condition func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	fail("%s did not happen within %v", what, limit)
}

// ping sends one message of a server to its node, and reports whether it was acknowledged.
func ping(control, method, id string, fields map[string]any) bool {
	var body io.Reader
	if fields != nil {
		text, err := json.Marshal(fields)
		must(err)
		body = bytes.NewReader(text)
	}
	request, err := http.NewRequest(method, "http://"+control+"/api/instances/"+id, body)
	must(err)
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode/100 == 2
}

// configuration returns the object config/main with one host. Routes are maps with the names of the protocol.
func configuration(version int, services []string, routes ...map[string]any) map[string]any {
	list := make([]any, 0, len(services))
	for _, s := range services {
		list = append(list, map[string]any{
			"Name": s, "HealthPath": "/health", "MaxConnections": 130, "Protocol": "h1", "Tls": false,
		})
	}
	return map[string]any{
		"Version": fmt.Sprintf("%08x", version), "Services": list,
		"Limits":       map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
		"VirtualHosts": []any{map[string]any{"Hostname": "shop.example", "Paths": routes}},
	}
}

func route(name, prefix, kind, service string, timeout, target float64, priority int) map[string]any {
	return map[string]any{
		"Name": name, "PathPrefix": prefix, "Kind": kind, "TimeoutS": timeout, "TargetLatencyS": target,
		"Priority": priority, "Service": service, "MaxAttempts": 2,
	}
}

// startMesh starts the store with a first configuration, and a node and a server for each service in the list. It returns
// when the nodes are ready, a first request was answered and the members have found each other.
func startMesh(first map[string]any, path string, work time.Duration, services ...string) (*store, []*node, []*server) {
	s := newStore()
	platform = serve(s)
	s.put("config", "main", first)
	nodes, apps := make([]*node, 0, len(services)), make([]*server, 0, len(services))
	for i, service := range services {
		app := newServer(fmt.Sprintf("i-%08x", 0x7f3a9100+i), service, 6, work)
		n := newNode(fmt.Sprintf("sidecar-a-%d", i+1), service, app.address)
		app.node = n
		n.start()
		go app.beat()
		nodes, apps = append(nodes, n), append(apps, app)
	}
	for _, n := range nodes {
		waitFor("readiness of "+n.name, 15*time.Second, n.isReady)
	}
	waitFor("a first answer", 15*time.Second, func() bool {
		return send(nodes[0], http.MethodPost, path, nil, 0, 2*time.Second).status == http.StatusOK
	})
	time.Sleep(4 * time.Second)
	return s, nodes, apps
}
