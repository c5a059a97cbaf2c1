package e2e

import (
	"bufio"
	"os"
	"os/exec"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// seedsFile lists seeds whose soak run once found a violation.
const seedsFile = "../soak/seeds.txt"

// shortSoak is how long faults are injected in the run that every change must pass.
const shortSoak = "12s"

// runSoak runs the soak with the race detector in all processes.
func runSoak(seed, duration string) {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	out, err := exec.Command(binary, "soak", "-seed", seed, "-duration", duration, "-logs", dir).CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), "%s", out)
	Expect(string(out)).To(ContainSubstring("violations=0"))
}

// Guards against a guarantee to callers that breaks when process kills, pauses and
// restarts, link failures and configuration changes coincide.
var _ = Describe("soak", func() {
	It("finds no violation in a short run", func() { runSoak("1", shortSoak) })
	It("finds no violation with servers that end right after responses without a length", func() { runSoak("9", shortSoak) })
	It("finds no violation with servers that name a request rate", func() { runSoak("5", shortSoak) })

	It("finds no violation with seeds that failed before", func() {
		file, err := os.Open(seedsFile)
		Expect(err).NotTo(HaveOccurred())
		defer file.Close()
		for lines := bufio.NewScanner(file); lines.Scan(); {
			fields := strings.Fields(lines.Text())
			if len(fields) < 2 || fields[0] == "#" {
				continue
			}
			runSoak(fields[0], fields[1])
		}
	})
})
