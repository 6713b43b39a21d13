package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// host is one entry machine: a process of the project.
type host struct {
	name, front, ready string
	door               *door
	command            *exec.Cmd
}

// cell is a small deployment.
type cell struct {
	dir     string
	record  *record
	store   *store
	workers []*worker
	hosts   []*host
	routes  []map[string]any
	version int
	trouble bool
	jobs    int
}

// The ports lie below those that the kernel gives to outgoing connections, which could take one between its choice and its use.
const (
	lowestPort = 12000
	ports      = 18000
	portTries  = 100
)

func freeAddress() (string, error) {
	var err error
	for range portTries {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.Intn(ports))
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address, nil
		}
	}
	return "", err
}

func newCell(dir string, record *record, workers int) (*cell, error) {
	c := &cell{dir: dir, record: record, store: newStore(), trouble: os.Getenv("TROUBLE") != "0"}
	for index := range workers {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		worker := newWorker(fmt.Sprintf("i-%010x", 0x7f3a91c2+index*7919), address, c.store, record)
		if err := worker.start(); err != nil {
			return nil, err
		}
		c.workers = append(c.workers, worker)
	}
	return c, nil
}

// route returns a queue of the configuration, with the prefix /NAME/.
func route(name string, maxAttempts int) map[string]any {
	return map[string]any{
		"name": "r-" + name, "host": "nony24.example", wire["prefix"]: "/" + name + "/", "kind": "non_idempotent", "timeout_ms": 3000,
		wire["target"]: 1200, "priority": 1, "service": "register-svc", "max_attempts": maxAttempts, "stretch": 2.2,
	}
}

// publish writes a version of the configuration; its return is the ack.
func (c *cell) publish(routes ...map[string]any) {
	c.routes, c.version = routes, c.version+3
	data, _ := json.Marshal(map[string]any{
		"version": c.version, "routes": routes, "services": []any{map[string]any{"name": "register-svc", "enforces_capacity": false}},
		"limits": map[string]any{"body_bytes": 262144},
	})
	c.store.put("keyed.op", "config", data)
	c.record.line("the operator has published version %d of the configuration with %d routes", c.version, len(routes))
}

// startHost starts a host with settings as deploy/scheduler.jsonc renders them.
func (c *cell) startHost(name, zone string, connContext func(net.Conn) net.Conn) (*host, error) {
	var addresses [5]string
	for index := range addresses {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[index] = address
	}
	listener, err := net.Listen("tcp", addresses[4])
	if err != nil {
		return nil, err
	}
	h := &host{name: name, front: addresses[0], ready: addresses[1], door: &door{store: c.store}}
	go func() { _ = (&http.Server{Handler: h.door}).Serve(tapped{listener, connContext}) }()
	settings, _ := json.Marshal(map[string]any{
		"role": "scheduler", "name": name, "data_centre": zone, "region": "bc-interior", "callers_listen": h.front, "ready_listen": h.ready,
		"metrics_listen": addresses[2], "link_listen": addresses[3], "store_address": addresses[4], "store_partitions": 8, "store_record": 262144,
		"store_call": 2097152, "store_retention": "300s", "state_retention": "120s", "max_lease": "10000ms", "stop_grace": "6s", "processors": 0.4,
		"link_mbps": 1000, "memory_mb": 284,
	})
	path := filepath.Join(c.dir, name+".jsonc")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	h.command = exec.Command("target/almondcross", "scheduler")
	h.command.Env = append(os.Environ(), "ALMONDCROSS_SETTINGS="+path)
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		return nil, err
	}
	c.hosts = append(c.hosts, h)
	c.record.line("host %s is started", name)
	return h, nil
}

// tapped is a listener whose connections pass through a function.
type tapped struct {
	net.Listener
	tap func(net.Conn) net.Conn
}

func (t tapped) Accept() (net.Conn, error) {
	connection, err := t.Listener.Accept()
	if err == nil && t.tap != nil {
		connection = t.tap(connection)
	}
	return connection, err
}

// stop ends all processes that this program started.
func (c *cell) stop() {
	for _, h := range c.hosts {
		_ = h.command.Process.Kill()
		_ = h.command.Wait()
	}
}

var errNotReady = errors.New("a host is not ready in time")

// awaitReady waits until all hosts say that they are ready.
func (c *cell) awaitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	for _, h := range c.hosts {
		for {
			response, err := http.Get("http://" + h.ready + "/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return errNotReady
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	c.record.line("all hosts are ready")
	return nil
}

// newID returns the identity of a further job.
func (c *cell) newID() string {
	c.jobs++
	return fmt.Sprintf("%012x%04x", time.Now().UnixNano()&(1<<48-1), c.jobs)
}

// call sends a request of a consumer; status 0 stands for no answer.
func (c *cell) call(h *host, method, path string, body []byte) (int, string) {
	request, err := http.NewRequest(method, "http://"+h.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = "nony24.example"
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", "3000")
	client := http.Client{Timeout: 3 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(data)
}

// submit hands a job of one task in and returns its identity and the status.
func (c *cell) submit(h *host, queue, spec string, milliCPU int) (string, int) {
	return c.submitWide(h, queue, spec, milliCPU, 1, "")
}

// submitWide hands a job of one step of several tasks in, which need a worker of a kind if one is given.
func (c *cell) submitWide(h *host, queue, spec string, milliCPU, tasks int, kind string) (string, int) {
	id := c.newID()
	step := map[string]any{"count": tasks, "cpu": milliCPU, "mem_mb": 256, wire["estimate"]: 500}
	if kind != "" {
		step[wire["label"]] = kind
	}
	body, _ := json.Marshal(map[string]any{"spec": spec, "steps": []any{step}})
	status, text := c.call(h, http.MethodPost, "/"+queue+"/"+id, body)
	c.record.line("POST /%s/%s at %s: %d %s", queue, id, h.name, status, text)
	return id, status
}

// state asks a host for the state of a job.
func (c *cell) state(h *host, queue, id string) (int, string) {
	status, text := c.call(h, http.MethodGet, "/"+queue+"/"+id, nil)
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &body)
	return status, body.State
}
