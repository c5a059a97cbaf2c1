package main

import (
	"os"
	"os/exec"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

func TestCommand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "command")
}

const commandTimeout = 20 * time.Second

var binary string

var _ = BeforeSuite(func() {
	var err error
	binary, err = gexec.Build("heatherloom/cmd/heatherloom")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

// result holds the exit status and the output of a command.
type result struct {
	status         int
	stdout, stderr string
}

// execute runs the binary and waits for it to exit.
func execute(args ...string) result {
	GinkgoHelper()
	session, err := gexec.Start(exec.Command(binary, args...), nil, nil)
	Expect(err).NotTo(HaveOccurred())
	Eventually(session, commandTimeout).Should(gexec.Exit())
	return result{session.ExitCode(), string(session.Out.Contents()), string(session.Err.Contents())}
}

var _ = Describe("the command line", func() {
	// Guards against a subcommand without help, and against help that exits with a
	// failure status.
	It("prints summary, flags and examples of every subcommand", func() {
		for _, c := range commands() {
			r := execute(c.name, "-h")
			Expect(r.status).To(Equal(exitOK), c.name)
			Expect(r.stderr).To(BeEmpty(), c.name)
			Expect(r.stdout).To(HavePrefix("usage: heatherloom "+c.name), c.name)
		}
		Expect(execute("serve", "-h").stdout).To(And(ContainSubstring("-config FILE"), ContainSubstring("\n  heatherloom serve -config ")))
	})

	// Guards against a mistyped word that runs something else or exits with status 0.
	DescribeTable("rejects a mistyped command line and names the nearest word",
		func(hint string, args ...string) {
			r := execute(args...)
			Expect(r.status).To(Equal(exitUsage))
			Expect(r.stdout).To(BeEmpty())
			Expect(r.stderr).To(ContainSubstring(hint))
		},
		Entry("no command", "usage: heatherloom COMMAND"),
		Entry("command", `unknown command "serv"; did you mean "serve"?`, "serv"),
		Entry("flag", "heatherloom serve: unknown flag -confg; did you mean -config?", "serve", "-confg", "x"),
		Entry("flag of a command without flags", "the command has no flags", "version", "-v"),
		Entry("extra argument", `unexpected argument "x"`, "check", "x"),
		Entry("flag value", `invalid value "soon"`, "standin", "-token-interval", "soon"),
	)

	It("prints the version", func() {
		r := execute("version")
		Expect(r.status).To(Equal(exitOK))
		Expect(r.stdout).To(MatchRegexp(`^heatherloom version=\S+ commit=\S+ go=go1`))
	})
})

// captureStderr returns what fn writes to standard error.
func captureStderr(fn func()) string {
	GinkgoHelper()
	file, err := os.CreateTemp(GinkgoT().TempDir(), "stderr")
	Expect(err).NotTo(HaveOccurred())
	defer file.Close()
	before := os.Stderr
	defer func() { os.Stderr = before }()
	os.Stderr = file
	fn()
	raw, err := os.ReadFile(file.Name())
	Expect(err).NotTo(HaveOccurred())
	return string(raw)
}
