package backend_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"trefoilline.example/trefoilline/backend"
)

// BenchmarkChoose measures Choose and Done by the number of servers, half of
// whose slots are held.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{8, 64, 512, 4096} {
		b.Run(fmt.Sprintf("servers=%d", count), func(b *testing.B) {
			p, _ := newPool(servers("storefront", "accra", count))
			for range 2 * count {
				if _, err := p.Reserve("storefront", "accra"); err != nil {
					b.Fatal(err)
				}
			}
			for b.Loop() {
				r, err := p.Reserve("storefront", "accra")
				if err != nil {
					b.Fatal(err)
				}
				p.Release(r, backend.Responded{})
			}
		})
	}
}

// BenchmarkSetMachines measures a new list of the platform.
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
