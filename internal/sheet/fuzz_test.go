package sheet

import (
	"strings"
	"testing"

	"heatherloom/internal/opconfig"
)

// FuzzParse guards against a sheet that crashes the parser, is accepted but cannot be
// applied, still differs from the configuration after it was applied, or whose key is
// printed.
func FuzzParse(f *testing.F) {
	f.Add(fullSheet)
	f.Add("\ufefftype,name,state\r\n\r\nleaving,,none\r\n")
	f.Add("type,name,version,deadline\nversion,m,2,9999-12-31T23:59:59-12:00\n")
	f.Add("type,name,account,key\nkey,a,\"b\nc\"," + plainKey + "\nkey,\"")
	f.Add("type;name\n" + plainKey)
	f.Fuzz(func(t *testing.T, text string) {
		s, problems := Parse(strings.NewReader(text), ParseOptions{Now: now})
		for _, p := range problems {
			if strings.Contains(p.String(), plainKey) {
				t.Fatalf("a key is printed: %s", p)
			}
		}
		if len(problems) > 0 {
			return
		}
		changes := Diff(opconfig.New(), s)
		delta := opconfig.Delta{Revision: 1}
		for _, change := range changes {
			delta.Changes = append(delta.Changes, change.ConfigChange)
		}
		config, err := opconfig.New().Apply(delta)
		if err != nil {
			t.Fatalf("an accepted sheet cannot be applied: %v", err)
		}
		if rest := Diff(config, s); len(rest) > 0 {
			t.Fatalf("an applied sheet still differs: %v", rest)
		}
	})
}
