package backend_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"trefoilline.example/trefoilline/backend"
)

// BenchmarkReserve measures Reserve and Release for different numbers of servers, with
// half of the slots reserved.
func BenchmarkReserve(b *testing.B) {
	for _, count := range []int{8, 64, 512, 4096} {
		b.Run(fmt.Sprintf("servers=%d", count), func(b *testing.B) {
			p, _ := newPool(servers("storefront", "accra", count))
			for range 2 * count {
				if _, err := p.Reserve("storefront", "accra"); err != nil {
					b.Fatal(err)
				}
			}
			for b.Loop() {
				reservation, err := p.Reserve("storefront", "accra")
				if err != nil {
					b.Fatal(err)
				}
				p.Release(reservation, backend.Responded{})
			}
		})
	}
}

// BenchmarkSetMachines measures SetMachines for different numbers of servers.
func BenchmarkSetMachines(b *testing.B) {
	for _, count := range []int{64, 512, 4096} {
		b.Run(fmt.Sprintf("servers=%d", count), func(b *testing.B) {
			machines := servers("storefront", "accra", count)
			p := &backend.Pool{
				Random: rand.New(rand.NewPCG(1, 2)),
			}
			for b.Loop() {
				p.SetMachines(machines)
			}
		})
	}
}
