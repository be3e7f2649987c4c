package room

const (
	// clientDivisor is the part of the memory that connections, requests and answers may use; the rest is for the program, for garbage, and for what other nodes have sent and this one has not read.
	clientDivisor = 3
	// connDivisor is the part of that memory that connections without requests may use.
	connDivisor = 2
	// connBytes is the memory of a connection.
	connBytes = 24 << 10
	// bodyShare is the share of the memory for clients that one body may use.
	bodyShare = 0.7
	// defaultMemory is assumed if no limit is stated, in bytes.
	defaultMemory = 256 << 20
	// defaultDescriptors is assumed if no limit is stated.
	defaultDescriptors = 4096
	// fileDescriptors are left to files.
	fileDescriptors = 200
	// callerDivisor is the part of the other descriptors for callers.
	callerDivisor = 2
	// upstreamDivisor is the part for the sub-calls of the upstream.
	upstreamDivisor = 4
	// doorDivisor is the part for each of the other listeners, and maxDoorConns bounds it: their clients are the platform, operators and the node's own upstream.
	doorDivisor  = 16
	maxDoorConns = 128
)

// MinDescriptors is the least limit of descriptors with which a process has some for each of its tasks.
const MinDescriptors = 264

// Limits are the limits of a process; 0 means that none is stated.
type Limits struct {
	MemoryBytes int
	Descriptors int
}

// ClientMemory returns the memory for clients in bytes.
func (l Limits) ClientMemory() int64 {
	if l.MemoryBytes == 0 {
		return defaultMemory / clientDivisor
	}
	return int64(l.MemoryBytes) / clientDivisor
}

// BodyBytes returns the memory that one body may use, in bytes.
func (l Limits) BodyBytes() int64 {
	return int64(bodyShare * float64(l.ClientMemory()))
}

// Callers returns the maximum number of connections of callers.
func (l Limits) Callers() int {
	return min(l.sockets()/callerDivisor, int(l.ClientMemory()/connDivisor/connBytes))
}

// Upstream returns the maximum number of connections on which the upstream makes calls.
func (l Limits) Upstream() int {
	return min(l.sockets()/upstreamDivisor, int(l.ClientMemory()/connDivisor/connBytes))
}

// Others returns the maximum number of connections of each other listener.
func (l Limits) Others() int {
	return min(max(l.sockets()/doorDivisor, 1), maxDoorConns)
}

// sockets returns the descriptors that are not left to files.
func (l Limits) sockets() int {
	n := l.Descriptors
	if n == 0 {
		n = defaultDescriptors
	}
	return max(n, MinDescriptors) - fileDescriptors
}
