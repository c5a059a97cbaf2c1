package main

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// writeFile writes a temporary file and returns its path.
func writeFile(name, text string) string {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

const validSettings = "[instance]\nid=i1\nregion=hobart\nfailure_domain=hobart-a\n" +
	"[listeners]\ncaller=127.0.0.1:0\npeer=127.0.0.1:0\noperator=127.0.0.1:0\n" +
	"[platform]\nstore=http://127.0.0.1:1\ninstances=http://127.0.0.1:2/instances\n[peer]\nsecret=0123456789abcdef\n"

var _ = Describe("check", func() {
	It("prints one line for a valid file", func() {
		path := writeFile("a.ini", validSettings)
		r := execute("check", "-config", path)
		Expect(r).To(Equal(result{exitOK, path + ": valid settings of instance i1 in region hobart, failure domain hobart-a\n", ""}))
	})

	// Guards against serve and check that disagree on whether settings are valid.
	It("prints every fault, as serve does", func() {
		path := writeFile("a.ini", "[instance]\nid=i1\nregion=a b\n")
		r := execute("check", "-config", path)
		Expect(r.status).To(Equal(exitUsage))
		Expect(r.stdout).To(BeEmpty())
		Expect(r.stderr).To(ContainSubstring(path + ":3: instance.region: "))
		Expect(r.stderr).To(ContainSubstring("listeners.caller: the key is missing"))
		Expect(execute("serve", "-config", path)).To(Equal(r))
	})
})
