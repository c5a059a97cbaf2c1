package e2e

import (
	"bufio"
	"os"
	"os/exec"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// seedsFile holds the seeds that once failed.
const seedsFile = "../soak/seeds.txt"

// shortSoak is the time with faults of the run that every change must pass.
const shortSoak = "12s"

// playSoak runs the soak with the race detector in all processes.
func playSoak(seed, duration string) {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	out, err := exec.Command(binary, "soak", "-seed", seed, "-duration", duration, "-logs", dir).CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), "%s", out)
	Expect(string(out)).To(ContainSubstring("violations=0"))
}

// Guards against a promise that breaks when processes are killed, paused and restarted,
// links fail and operators change things, all at once.
var _ = Describe("soak", func() {
	It("breaks no promise on a short run", func() { playSoak("1", shortSoak) })

	It("breaks no promise on a seed that once failed", func() {
		file, err := os.Open(seedsFile)
		Expect(err).NotTo(HaveOccurred())
		defer file.Close()
		for lines := bufio.NewScanner(file); lines.Scan(); {
			fields := strings.Fields(lines.Text())
			if len(fields) < 2 || fields[0] == "#" {
				continue
			}
			playSoak(fields[0], fields[1])
		}
	})
})
