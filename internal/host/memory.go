package host

const (
	// memoryBudgetDivisor is the part of the machine's memory that bodies and responses may take. The rest is for the connections
	// themselves, the program, and what the garbage collector has not freed yet, which may be as much again.
	memoryBudgetDivisor = 4
	// minMemoryBudget is enough for the largest response on a machine with less memory than any of today's.
	minMemoryBudget  = 12 << 20
	bytesPerMegabyte = 1_000_000
)

const (
	// copyExpansion is how many times the bytes of the store's objects the copies of them take: as they are, decoded, and as
	// what the garbage collector has not freed yet.
	copyExpansion = 6
	// copyAllowance is the part of the machine's memory that they may take without less for bodies and responses.
	copyAllowance = 1.0 / 16
)

// updateMemoryLimit sets the limit of the memory budget. Large objects in the store leave less for bodies and responses.
func (h *host) updateMemoryLimit() {
	copied := 0
	for _, f := range h.followers {
		copied += f.Bytes()
	}
	h.handler.Memory.SetLimit(h.settings().Machine.MemoryBudgetBeside(copied))
}

// MemoryBudgetBeside returns the limit of the memory budget in bytes beside copies of so many bytes of the store's objects; zero, for the
// default, if the machine's memory is not known.
func (m Machine) MemoryBudgetBeside(copied int) int64 {
	budget := m.MemoryBudget()
	if budget == 0 {
		return 0
	}
	excess := max(0, float64(copied)*copyExpansion-m.MemoryMegabytes*bytesPerMegabyte*copyAllowance)
	return max(minMemoryBudget, budget-int64(excess))
}

// MemoryBudget returns the limit of the memory budget in bytes; zero, for the default, if the machine's memory is not known.
func (m Machine) MemoryBudget() int64 {
	if m.MemoryMegabytes == 0 {
		return 0
	}
	return max(minMemoryBudget, int64(m.MemoryMegabytes*bytesPerMegabyte/memoryBudgetDivisor))
}
