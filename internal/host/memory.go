package host

const (
	// memoryBudgetDivisor is the part of the machine's memory that bodies and responses may take. The rest is for the connections
	// themselves, the program, and what the garbage collector has not freed yet, which may be as much again.
	memoryBudgetDivisor = 4
	// minMemoryBudget is enough for the largest response on a machine with less memory than any of today's.
	minMemoryBudget  = 12 << 20
	bytesPerMegabyte = 1_000_000
)

// MemoryBudget returns the limit of the memory budget in bytes; zero, for the default, if the machine's memory is not known.
func (m Machine) MemoryBudget() int64 {
	if m.MemoryMegabytes == 0 {
		return 0
	}
	return max(minMemoryBudget, int64(m.MemoryMegabytes*bytesPerMegabyte/memoryBudgetDivisor))
}
