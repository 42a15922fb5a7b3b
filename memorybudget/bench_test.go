package memorybudget_test

import (
	"testing"

	"trefoilline.example/trefoilline/memorybudget"
)

// BenchmarkHoldingAtRest measures what the budget adds to a request with a short body and a short response.
func BenchmarkHoldingAtRest(b *testing.B) {
	budget := &memorybudget.Budget{}
	owner := memorybudget.Owner{
		Group:    memorybudget.NewGroup(callerAddress, "shop"),
		Expected: 1 << 10,
	}
	ctx := b.Context()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		owner := owner
		for pb.Next() {
			for _, owner.Kind = range []memorybudget.Kind{memorybudget.Upload, memorybudget.Response} {
				h := budget.Open(owner)
				if h.Reserve(ctx, 1<<10) != nil {
					b.Error("there is enough memory")
				}
				h.Begin()
				h.End(1 << 10)
				h.Close()
			}
		}
	})
}
