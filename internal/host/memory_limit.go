package host

import "runtime/debug"

// runtimeMemoryFraction is the part of the process's memory that the Go runtime may use before it collects garbage without
// waiting for the heap to grow. The rest is for the program itself and for what is freed late.
const runtimeMemoryFraction = 0.8

// initialMemoryLimit is the memory limit of the Go runtime at the start, which GOMEMLIMIT sets.
var initialMemoryLimit = debug.SetMemoryLimit(-1)

// RuntimeMemoryLimit returns the memory limit of the Go runtime in bytes.
func (m Machine) RuntimeMemoryLimit() int64 {
	if m.MemoryMegabytes <= 0 {
		return initialMemoryLimit
	}
	return int64(runtimeMemoryFraction * m.MemoryMegabytes * megabyte)
}
