package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const docsPath = "../../docs/settings.md"

// valid is a settings file without problems. Tests refer to its line numbers.
const valid = `[instance]
id = hobart-1
region = hobart
failure_domain = hobart-a
[listeners]
caller = 127.0.0.1:8080
peer = 127.0.0.1:8443
operator = [::1]:9090
[platform]
store = http://127.0.0.1:2379/
instances = http://127.0.0.1:8500/instances
[peer]
secret = 0123456789abcdef#;x ; comment
seeds = 127.0.0.1:1, 127.0.0.1:2
`

func load(text string) (Settings, []string) {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), "x.ini")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	s, problems := Load(path)
	var lines []string
	for _, p := range problems {
		lines = append(lines, strings.TrimPrefix(p.String(), path+":"))
	}
	return s, lines
}

var _ = Describe("Load", func() {
	// Guards against a value that is cut at a comment character, and against a file with a byte
	// order mark and CRLF line ends, as Windows editors write it, that is rejected.
	It("reads a valid file", func() {
		for _, text := range []string{valid, "\ufeff" + strings.ReplaceAll(valid, "\n", "\r\n")} {
			s, problems := load(text)
			Expect(problems).To(BeEmpty())
			Expect(s.Instance).To(Equal(Instance{ID: "hobart-1", Region: "hobart", FailureDomain: "hobart-a"}))
			Expect(s.Platform.Store).To(Equal("http://127.0.0.1:2379"))
			Expect(s.Peer).To(Equal(Peer{Secret: "0123456789abcdef#;x", Seeds: []string{"127.0.0.1:1", "127.0.0.1:2"}}))
			Expect(s.Shutdown.Timeout).To(Equal(10 * time.Minute))
		}
	})

	// Guards against a trailing backslash that is treated as a line continuation.
	It("keeps a backslash at the end of a line", func() {
		s, problems := load(strings.Replace(valid, "#;x ; comment", "\\", 1))
		Expect(problems).To(BeEmpty())
		Expect(s.Peer.Secret).To(Equal(`0123456789abcdef\`))
		Expect(s.Peer.Seeds).To(HaveLen(2))
	})

	// Guards against a problem that is not reported, has no line number, or does not state which
	// values are allowed.
	DescribeTable("reports a fault with line, key and what is allowed",
		func(replace, with string, want ...string) {
			_, problems := load(strings.Replace(valid, replace, with, 1))
			Expect(problems).To(HaveLen(len(want)))
			for i, text := range want {
				Expect(problems[i]).To(HavePrefix(text))
			}
		},
		Entry("unknown section", "[peer]", "[pear]\na = 1\n[peer]", "12: pear: unknown section; allowed are instance, "),
		Entry("unknown key", "id = ", "color = red\nid = ", "2: instance.color: unknown key; allowed in [instance] are id, region"),
		Entry("key in no section", "[instance]", "a = 1\n[instance]", "1: a: the key is in no section; allowed"),
		Entry("missing key", "id = hobart-1\n", "", "1: instance.id: the key is missing; a value is required"),
		Entry("missing section", "[platform]\nstore = http://127.0.0.1:2379/\ninstances = http://127.0.0.1:8500/instances\n", "",
			"12: platform.store: the key is missing", "12: platform.instances: the key is missing"),
		Entry("empty value", "hobart-1", "", "2: instance.id: a value is required"),
		Entry("bad name", "hobart-1", "hobart 1", `2: instance.id: "hobart 1" is not a name; allowed are`),
		Entry("host name", "127.0.0.1:8080", "localhost:8080", `6: listeners.caller: "localhost:8080" is not an address; allowed is an IP address and a port`),
		Entry("port too large", "127.0.0.1:8080", "127.0.0.1:70000", "6: listeners.caller: "),
		Entry("unspecified address", "127.0.0.1:8080", "0.0.0.0:8080", `6: listeners.caller: "0.0.0.0:8080" cannot be announced`),
		Entry("same address twice", "127.0.0.1:8443", "127.0.0.1:8080", `7: listeners.peer: "127.0.0.1:8080" is also the address of listeners.caller`),
		Entry("bad URL", "http://127.0.0.1:2379/", "127.0.0.1:2379", "10: platform.store: the value is not a URL; allowed is http"),
		Entry("URL with a path", "2379/", "2379/v3", "10: platform.store: the URL has a path"),
		Entry("bad seed", ", 127.0.0.1:2", ", burnie", `14: peer.seeds: "burnie" is not an address`),
		Entry("seed twice", ", 127.0.0.1:2", ", 127.0.0.1:1", `14: peer.seeds: "127.0.0.1:1" occurs twice`),
		Entry("bad duration", "[peer]", "[shutdown]\ntimeout = 10\n[peer]", `13: shutdown.timeout: "10" is not a duration; allowed`),
		Entry("duration out of range", "[peer]", "[shutdown]\ntimeout = 2h\n[peer]", `13: shutdown.timeout: "2h" is out of range; allowed is from 1s to 1h0m0s`),
		Entry("key twice", "region = ", "id = b\nregion = ", "3: instance.id: the key occurs twice; its first value is on line 2"),
		Entry("section twice", "[platform]", "[instance]\n[platform]", "9: instance: section [instance] occurs twice; it starts on line 1"),
		Entry("broken lines", "[platform]", "[platform\n[platform]\nwhat", "9: invalid line; allowed are", "11: invalid line"),
		Entry("value over several lines", "hobart-1", "\"\"\"hobart\n1\"\"\"", "1: instance.id: the key is missing", "2: invalid line", "3: invalid line"),
	)

	// Guards against a report that ends after the first of several problems.
	It("reports all faults of a file in the order of its lines", func() {
		_, problems := load("[instance]\nid=?\nx=1\n[listeners]\ncaller=a\n[a]\n")
		Expect(problems).To(HaveLen(11))
		Expect(problems[0]).To(HavePrefix("1: instance.region"))
		Expect(problems[10]).To(HavePrefix("7: peer.secret"))
	})

	It("reports a file that cannot be read", func() {
		_, problems := Load("absent.ini")
		Expect(problems).To(HaveLen(1))
		Expect(problems[0].String()).To(HavePrefix("absent.ini: the file cannot be read: "))
	})

	// Guards against a secret in the messages of a failed startup.
	It("never prints a secret", func() {
		for _, line := range []string{"secret = hunter2", "secret hunter2", "secret = \"\"\"hunter2", "secret = `hunter2", "[secret hunter2"} {
			_, problems := load(strings.Replace(valid, "secret = 0123456789abcdef#;x", line, 1))
			Expect(problems).NotTo(BeEmpty(), line)
			Expect(strings.Join(problems, "\n")).NotTo(ContainSubstring("hunter2"), line)
		}
	})
})

var _ = Describe("the table of keys", func() {
	// Guards against a field of Settings that no key sets, and against two keys that set the
	// same field.
	It("has one key for each field", func() {
		var s Settings
		var fields, pointers []any
		root := reflect.ValueOf(&s).Elem()
		for i := range root.NumField() {
			for j := range root.Field(i).NumField() {
				fields = append(fields, root.Field(i).Field(j).Addr().Interface())
			}
		}
		for _, k := range keys {
			pointers = append(pointers, k.field.pointer(&s))
		}
		Expect(pointers).To(HaveLen(len(fields)))
		for i := range fields {
			found := 0
			for _, pointer := range pointers {
				if pointer == fields[i] {
					found++
				}
			}
			Expect(found).To(Equal(1), "field %d", i)
		}
	})

	// Guards against a default that is rejected as invalid.
	It("has valid defaults", func() {
		for _, k := range keys {
			if k.defaultText != required {
				Expect(k.field.set(&Settings{}, k.defaultText)).To(Succeed(), k.name)
			}
		}
	})

	// Guards against a key that docs/settings.md does not describe or describes with another
	// default, and against a described key that does not exist.
	It("agrees with docs/settings.md", func() {
		raw, err := os.ReadFile(docsPath)
		Expect(err).NotTo(HaveOccurred())
		var documented, known [][]string
		for _, row := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\| ([^|]+) \\| [^|]+ \\| [^|]+ \\|$").FindAllStringSubmatch(string(raw), -1) {
			documented = append(documented, []string{row[1], row[2]})
		}
		for _, k := range keys {
			defaultText := k.defaultText
			if defaultText == "" {
				defaultText = "none"
			}
			known = append(known, []string{k.name, defaultText})
		}
		Expect(documented).To(Equal(known))
	})

	// Guards against an example in docs/settings.md that does not load.
	It("accepts the example of docs/settings.md", func() {
		raw, err := os.ReadFile(docsPath)
		Expect(err).NotTo(HaveOccurred())
		example := regexp.MustCompile("(?s)```ini\n(.*?)```").FindStringSubmatch(string(raw))
		Expect(example).To(HaveLen(2))
		_, problems := load(example[1])
		Expect(problems).To(BeEmpty())
	})
})
