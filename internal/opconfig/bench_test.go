package opconfig

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
)

func init() {
	// A fixed seed makes a failure of a randomised test repeat.
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}

// benchAccounts is the number of client accounts at the design size.
const benchAccounts = 44_000

// testAccounts is a number of client accounts that fills several shards.
const testAccounts = 5_000

// fullConfig returns a configuration with n client accounts of one key each.
func fullConfig(tb testing.TB, n int) *Config {
	tb.Helper()
	changes := make([]Change, 0, 2*n)
	for i := range n {
		name := fmt.Sprintf("account-%05d", i)
		changes = append(changes, mustSet(tb, TableAccounts, name, Account{Name: name, Rate: 12.5, Burst: 40, Home: "hobart"}))
		hash := HashKey(name)
		changes = append(changes, mustSet(tb, TableKeys, hash, Key{Hash: hash, ID: name + "-1", Account: name}))
	}
	config, err := New().Apply(Delta{Revision: 1, Changes: changes})
	if err != nil {
		tb.Fatal(err)
	}
	return config
}

func mustSet(tb testing.TB, table Table, id string, record any) Change {
	tb.Helper()
	change, err := Set(table, id, record)
	if err != nil {
		tb.Fatal(err)
	}
	return change
}

func BenchmarkApplyOneChange(b *testing.B) {
	config := fullConfig(b, benchAccounts)
	changes := []Change{mustSet(b, TableAccounts, "account-00007", Account{Name: "account-00007", Rate: 3, Burst: 9})}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := config.Apply(Delta{Revision: 2, Changes: changes}); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkGetKey(b *testing.B) {
	config, hash := fullConfig(b, benchAccounts), HashKey("account-00007")
	for b.Loop() {
		if _, ok := config.Keys.Get(hash); !ok {
			b.Fatal("the key is missing")
		}
	}
}

func BenchmarkEncodeBase(b *testing.B) {
	config := fullConfig(b, benchAccounts)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := config.EncodeBase(); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecodeBase(b *testing.B) {
	base, err := fullConfig(b, benchAccounts).EncodeBase()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeBase(base); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(base.Shards)), "shards")
}

// BenchmarkHeldMemory reports the memory that a decoded configuration holds.
func BenchmarkHeldMemory(b *testing.B) {
	base, err := fullConfig(b, benchAccounts).EncodeBase()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		before := heapInUse()
		config, err := DecodeBase(base)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(heapInUse()-before)/(1<<20), "MB/config")
		runtime.KeepAlive(config)
	}
	runtime.KeepAlive(base)
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
