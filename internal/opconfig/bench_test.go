package opconfig

import (
	"errors"
	"flag"
	"fmt"
	"runtime"
	"testing"
)

// A fixed seed makes failures of randomized tests reproducible.
var _ = errors.Join(flag.Set("rapid.seed", "20261204"), flag.Set("rapid.nofailfile", "true"))

// benchAccounts is the number of client accounts at the design size.
const benchAccounts = 44_000

// testAccounts is a number of client accounts that takes up several shards.
const testAccounts = 5_000

// fullConfig returns a configuration with n client accounts of one key each.
func fullConfig(n int) *Config {
	changes := make([]Change, 0, 2*n)
	for i := range n {
		name := fmt.Sprintf("account-%05d", i)
		changes = append(changes, must(Set(TableAccounts, name, Account{Name: name, Rate: 12.5, Burst: 40, HomeRegion: "hobart"})))
		hash := HashAPIKey(name)
		changes = append(changes, must(Set(TableAPIKeys, hash, APIKey{Hash: hash, ID: name + "-1", Account: name})))
	}
	config := must(New().Apply(Delta{Revision: 1, Changes: changes}))
	return config
}

func BenchmarkApplyOneChange(b *testing.B) {
	config := fullConfig(benchAccounts)
	changes := []Change{must(Set(TableAccounts, "account-00007", Account{Name: "account-00007", Rate: 3, Burst: 9}))}
	b.ReportAllocs()
	for b.Loop() {
		must(config.Apply(Delta{Revision: 2, Changes: changes}))
	}
}

func BenchmarkGetKey(b *testing.B) {
	config, hash := fullConfig(benchAccounts), HashAPIKey("account-00007")
	for b.Loop() {
		if _, ok := config.APIKeys.Get(hash); !ok {
			b.Fatal("the key is missing")
		}
	}
}

// benchSizes are the numbers of client accounts, with one key each, to benchmark.
var benchSizes = []int{11_000, 22_000, benchAccounts}

func BenchmarkEncodeBase(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("accounts=", n), func(b *testing.B) {
			config := fullConfig(n)
			b.ReportAllocs()
			for b.Loop() {
				must(config.EncodeBase())
			}
		})
	}
}

func BenchmarkDecodeBase(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("accounts=", n), func(b *testing.B) { benchmarkDecodeBase(b, must(fullConfig(n).EncodeBase())) })
	}
}

func benchmarkDecodeBase(b *testing.B, base Base) {
	b.ReportAllocs()
	before := heapInUse()
	var config *Config
	for b.Loop() {
		config = must(DecodeBase(base))
	}
	bytes := 0
	for _, shard := range base.Shards {
		bytes += len(shard)
	}
	b.ReportMetric(float64(bytes)/(1<<20), "MB-encoded")
	b.ReportMetric(float64(heapInUse()-before)/(1<<20), "MB/config")
	runtime.KeepAlive(config)
	runtime.KeepAlive(base)
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
