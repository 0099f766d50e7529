//go:build review

package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// node is one machine of the class front, which runs the program as the deploy file says.
type node struct {
	name, ip, front, ready string
	settings, logs         string
	cmd                    *exec.Cmd
	ended                  chan struct{}
}

var gap = regexp.MustCompile(`\{\{([#^/]?)([A-Za-z_.0-9]+)\}\}`)

// render fills a template as DEPLOY.md says, as far as deploy/node.toml uses it.
func render(text string, values map[string]string) (string, error) {
	for _, m := range gap.FindAllStringSubmatch(text, -1) {
		value, known := values[m[2]]
		if !known {
			return "", fmt.Errorf("the stand-in has no value for %s", m[0])
		}
		if m[1] != "" {
			value = ""
		}
		text = strings.Replace(text, m[0], value, 1)
	}
	return text, nil
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// newNode writes the settings of a node, like those of a machine of tablehold-lakes.
func newNode(dir, name, zone, ip string, internal int, storeAddress, cloudAddress, adviceAddress string) (*node, error) {
	template, err := os.ReadFile("deploy/node.toml")
	if err != nil {
		return nil, err
	}
	front, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	ready, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	n := &node{name: name, ip: ip, front: net.JoinHostPort(ip, strconv.Itoa(front)), ready: net.JoinHostPort(ip, strconv.Itoa(ready))}
	text, err := render(string(template), map[string]string{
		"NodeName": name, "Zone": zone, "Ip": ip, "Limits.CpuShare": "0.4", "Limits.MemoryMb": "284", "Limits.MaxFds": "4100", "Limits.LinkMbps": "1000.0",
		"Listen.Front": n.front, "Listen.Ready": n.ready, "InternalPorts.0": strconv.Itoa(internal),
		"platform.Address": storeAddress, "CloudApi.Address": cloudAddress, "advice": adviceAddress, "platform.parts": "8",
		"CloudApi.RatePerS": "64.0", "CloudApi.DutyPerS": "64.0",
		"Bounds.MaxHoldMs": "10000", "Bounds.stop_ms": "400", "Bounds.GraceS": "6", "Bounds.status_s": "120", "Bounds.far_x": "2", "Bounds.move_s": "1.5",
		"Bounds.upkeep_s": "2", "Bounds.notice_ms": "4500", "Bounds.LeaseMs": "3000", "Bounds.ContactMs": "3000", "Bounds.ConfigApplyMs": "2000",
		"Bounds.harm_ms": "4000", "Bounds.pace_ms": "100",
	})
	if err != nil {
		return nil, err
	}
	n.settings, n.logs = filepath.Join(dir, name+".toml"), filepath.Join(dir, name+".log")
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the process with the command of deploy/system.toml; only the path of the settings differs.
func (n *node) start() error {
	logs, err := os.OpenFile(n.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	n.cmd = exec.Command("target/yardbridge", "node", "-settings", n.settings)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "YARDBRIDGE_SETTINGS=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = logs, logs
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	ended, cmd := make(chan struct{}), n.cmd
	n.ended = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// stop sends SIGTERM and, after GraceS, SIGKILL, and returns once the process has ended.
func (n *node) stop() {
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.ended:
	case <-time.After(6 * time.Second):
		n.kill()
	}
}

func (n *node) kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	<-n.ended
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Get("http://" + n.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

var errNotReady = errors.New("a node is not ready")

// await waits until a node answers that it is ready.
func (n *node) await(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s after %s", errNotReady, n.name, limit)
}
