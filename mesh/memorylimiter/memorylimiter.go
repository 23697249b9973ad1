package memorylimiter

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/holder"
	"wisteriaspoke.example/mesh/kernel"
)

func init() {
	kernel.Register("memorylimiter", 5, func() kernel.Part { return &MemoryLimiter{} })
}

const (
	megabyte = 1 << 20
	// runtimeFraction is the fraction of the memory from which the runtime collects garbage more often. The rest is for what
	// the runtime does not count, such as the program itself.
	runtimeFraction = 0.7
	// bufferFraction is the fraction that the bodies of requests may take, and that small answers may take.
	bufferFraction = 0.125
	// largeFraction is the fraction that large bodies may take together.
	largeFraction = 0.25
	// minLarge holds two bodies of the largest size, one that is read by its caller and one that arrives.
	minLarge = 18 * megabyte
	// unknownLarge is what large bodies may take if the memory is unknown.
	unknownLarge = 256 * megabyte
	// connectionBytes is the memory of one caller's connection, and of one request behind another on it, beside bodies.
	connectionBytes = 32 << 10
	// minConnections is the lowest bound on callers' connections.
	minConnections = 64
	// minBuffer holds one response of the largest size, so that it can be read on any host.
	minBuffer = 9 * megabyte
	maxBuffer = 32 * megabyte
)

// MemoryLimiter holds the memory limit of this process.
type MemoryLimiter struct {
	Memory      int64 `help:"Memory of this process in MB, above which it is killed; 0 if unknown." default:"0" env:"WISTERIASPOKE_MEMORY"`
	LargeBodies int64 `help:"MB of bodies above 64 KB that are held at a time; 0 for a quarter of --memory, at least 18." default:"0" env:"WISTERIASPOKE_LARGE_BODIES"`
	Descriptors int64 `help:"Descriptors that this process may open, half of them for callers' connections; 0 if unknown." default:"0" env:"WISTERIASPOKE_DESCRIPTORS"`

	once   sync.Once
	holder *holder.Holder
}

// Check returns an error with a remedy if the setting is invalid.
func (m *MemoryLimiter) Check() error {
	if m.Memory < 0 {
		return fault.New(fault.Invalid, fmt.Sprintf("--memory is %d", m.Memory), "set it to 0 or more")
	}
	if m.LargeBodies != 0 && m.LargeBodies < minLarge/megabyte {
		return fault.New(fault.Invalid, fmt.Sprintf("--large-bodies is %d", m.LargeBodies), fmt.Sprintf("set it to 0, or to %d or more", minLarge/megabyte))
	}
	if m.Descriptors < 0 {
		return fault.New(fault.Invalid, fmt.Sprintf("--descriptors is %d", m.Descriptors), "set it to 0 or more")
	}
	return nil
}

// Start sets the limit of the runtime; nothing runs in the background.
func (m *MemoryLimiter) Start(context.Context, *kernel.Kernel) (<-chan error, error) {
	if m.Memory > 0 {
		debug.SetMemoryLimit(int64(runtimeFraction * float64(m.Memory*megabyte)))
	}
	return nil, nil
}

// Holder returns the holder of large bodies.
func (m *MemoryLimiter) Holder() *holder.Holder {
	m.once.Do(func() { m.holder = holder.New(m.largeBytes()) })
	return m.holder
}

func (m *MemoryLimiter) largeBytes() int64 {
	switch {
	case m.LargeBodies > 0:
		return m.LargeBodies * megabyte
	case m.Memory == 0:
		return unknownLarge
	}
	return max(minLarge, int64(largeFraction*float64(m.Memory*megabyte)))
}

// MaxConnections returns how many connections callers may have open, or 0 if there is no bound.
func (m *MemoryLimiter) MaxConnections() int {
	most := int64(0)
	if m.Memory > 0 {
		most = max(minConnections, int64(bufferFraction*float64(m.Memory*megabyte))/connectionBytes)
	}
	if half := m.Descriptors / 2; half > 0 && (most == 0 || half < most) {
		most = half
	}
	return int(most)
}

// MaxBehind returns how many requests may run behind others on callers' connections, or 0 if there is no bound.
func (m *MemoryLimiter) MaxBehind() int64 {
	if m.Memory == 0 {
		return 0
	}
	return m.BodyBuffer() / connectionBytes
}

// BodyBuffer returns how many bytes of callers' requests, and how many of small answers, may be in memory.
func (m *MemoryLimiter) BodyBuffer() int64 {
	if m.Memory == 0 {
		return maxBuffer
	}
	return min(maxBuffer, max(minBuffer, int64(bufferFraction*float64(m.Memory*megabyte))))
}
