package intaketest

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// unreadBytes returns the bytes that the kernel has received on connections to a
// port of this host and the process has not read.
func unreadBytes(port uint16) int64 {
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	const listening = "0A"
	suffix, total := fmt.Sprintf(":%04X", port), int64(0)
	for _, line := range strings.Split(string(b), "\n")[1:] {
		f := strings.Fields(line)
		if len(f) < 5 || !strings.HasSuffix(f[1], suffix) || f[3] == listening {
			continue
		}
		if _, rx, ok := strings.Cut(f[4], ":"); ok {
			n, _ := strconv.ParseInt(rx, 16, 64)
			total += n
		}
	}
	return total
}

// descriptors returns the number of open descriptors and how many are sockets.
func descriptors(pid int) (fds, socks int) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	names, err := os.ReadDir(dir)
	if err != nil {
		return 0, 0
	}
	for _, n := range names {
		if to, err := os.Readlink(filepath.Join(dir, n.Name())); err == nil && strings.HasPrefix(to, "socket:") {
			socks++
		}
	}
	return len(names), socks
}

// peakResident returns the largest resident memory of the process so far.
func (p *process) peakResident() int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		p.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(b), "VmHWM:")
	f := strings.Fields(rest)
	if len(f) < 2 {
		p.t.Fatal("no VmHWM")
	}
	kb, err := strconv.ParseInt(f[0], 10, 64)
	if err != nil {
		p.t.Fatal(err)
	}
	return kb << 10
}
