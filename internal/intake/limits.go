package intake

import (
	"syscall"
	"time"
)

const (
	// defaultMemoryMB is assumed if the memory of the host is not known; it is
	// that of the smallest hosts.
	defaultMemoryMB = 184
	// connectionMemory is the memory of the host for each connection that is
	// allowed. An open connection takes some 25 KB in the process and up to 20 KB of
	// unread bytes in the kernel, so that all together take less than a tenth: the
	// busiest daemons use nine tenths for their own work.
	connectionMemory = 512 << 10
	minConnections   = 16
	// fileDescriptors are reserved for files. Of the others, callers get half:
	// the daemon needs connections to the store, runners and other daemons.
	fileDescriptors = 200
	// bodyShare and headerShare divide the memory of the host to get the bytes of
	// large bodies and of long headers that are held.
	bodyShare    = 32
	minBodyBytes = 1 << 20
	headerShare  = 96
	// decodeMemoryMB is the memory of the host for each large body that is decoded
	// at a time: 256 KB of JSON decode to some 10 MB of steps.
	decodeMemoryMB = 64
	maxDecodes     = 4
	bodyTime       = 10 * time.Second
)

// Limits bound what the clients of one server make it hold.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// BodyBytes bounds the large bodies that are being read or handled. One of
	// known length counts in full from when its first smallBody bytes have arrived.
	BodyBytes int64
	// HeaderBytes bounds the parts of headers beyond freeHeader bytes.
	HeaderBytes int64
	// Decodes is the number of large bodies that are decoded at a time.
	Decodes int
	// BodyTime is the longest time in which a body must arrive.
	BodyTime time.Duration
}

// LimitsFor returns the limits for a host. If memoryMB is zero, the memory of the
// smallest hosts is assumed; if descriptors is zero, the limit of the process.
func LimitsFor(memoryMB, descriptors int) Limits {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	memory := int64(memoryMB) << 20
	l := Limits{
		Connections: int(memory / connectionMemory), BodyBytes: max(memory/bodyShare, minBodyBytes), HeaderBytes: memory / headerShare,
		Decodes: min(max(memoryMB/decodeMemoryMB, 1), maxDecodes), BodyTime: bodyTime,
	}
	if descriptors <= 0 {
		descriptors = processDescriptors()
	}
	if descriptors > 0 {
		l.Connections = min(l.Connections, (descriptors-fileDescriptors)/2)
	}
	l.Connections = max(l.Connections, minConnections)
	return l
}

// processDescriptors returns the limit on descriptors of the process, or zero if
// it is not known.
func processDescriptors() int {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil {
		return 0
	}
	return int(min(r.Cur, 1<<20))
}
