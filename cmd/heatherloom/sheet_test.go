package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"heatherloom/internal/configsync"
	"heatherloom/internal/external"
	"heatherloom/internal/external/etcdgw"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/operatorapi"
	"heatherloom/internal/sheet"
	"heatherloom/internal/standin"
)

const (
	sheetHeader  = "type,name,account,key,state,rate,burst,version,deadline\n"
	sheetKey     = "sk-derwent-0000001"
	morningSheet = sheetHeader +
		"account,derwent,,,,10,20,,\n" +
		"account,bass,,,,5,5,,\n" +
		"key,buoy,derwent," + sheetKey + ",,,,,\n" +
		"model,lantern,,,,,,1,\n" +
		"version,lantern,,,,,,2,2099-12-04T16:00:00Z\n"
)

var _ = Describe("sheet", func() {
	var store *standin.Store
	BeforeEach(func() {
		var err error
		store, err = standin.StartStore("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(store.Close)
	})
	runCommand := func(command, text string, extra ...string) result {
		GinkgoHelper()
		return execute(append([]string{"sheet", command, writeFile("m.csv", text), "-store", store.URL()}, extra...)...)
	}
	load := func() *opconfig.Config {
		GinkgoHelper()
		config, err := configsync.Load(context.Background(), etcdgw.New(store.URL()))
		Expect(err).NotTo(HaveOccurred())
		return config
	}

	It("has help and examples for each command", func() {
		for _, c := range sheetCommands() {
			r := execute("sheet", c.name, "-h")
			Expect(r.status).To(Equal(exitOK))
			Expect(r.stdout).To(ContainSubstring("\n  heatherloom sheet " + c.name + " morning.csv"))
		}
		Expect(execute("sheet", "dif").stderr).To(ContainSubstring(`did you mean "diff"?`))
		Expect(execute("sheet", "diff").status).To(Equal(exitUsage))
		Expect(execute("sheet", "apply", "x.csv").stderr).To(Equal("heatherloom sheet apply: -store: a value is required\n"))
		Expect(execute("sheet", "apply", "x.csv", "-store", "10.1.0.2:2379").status).To(Equal(exitUsage))
		Expect(execute("sheet", "check", "absent.csv").status).To(Equal(exitUsage))
	})

	// Guards against keys in the output, and against invalid sheets that exit with
	// status 0.
	It("checks, compares and applies without printing a key", func() {
		broken := runCommand("check", morningSheet+"account,derwent,,"+sheetKey+",,x,1,,\n")
		Expect(broken.status).To(Equal(exitUsage))
		Expect(strings.Count(broken.stderr, "\n")).To(Equal(3))
		Expect(broken.stderr).To(ContainSubstring("m.csv: row 7, column rate: "))
		Expect(runCommand("apply", "type\n").status).To(Equal(exitUsage))
		Expect(runCommand("check", morningSheet).stdout).To(HaveSuffix("valid sheet with 5 records\n"))

		diff := runCommand("diff", morningSheet)
		Expect(diff.status).To(Equal(exitOK))
		Expect(diff.stdout).To(ContainSubstring("5 changes against revision 0\nadd       account bass  burst=5 rate=5\n"))
		Expect(load().Revision).To(BeZero())
		slash := runCommand("diff", morningSheet, "-store", store.URL()+"/")
		Expect(slash.status).To(Equal(exitOK), slash.stderr)

		apply := runCommand("apply", morningSheet)
		Expect(apply.status).To(Equal(exitOK), apply.stderr)
		Expect(apply.stdout).To(ContainSubstring("accepted as revision 1, 5 changes\n"))
		_, found := load().APIKeys.Get(opconfig.HashAPIKey(sheetKey))
		Expect(found).To(BeTrue())
		again := runCommand("apply", morningSheet)
		Expect(again.status).To(Equal(exitOK))
		Expect(again.stdout).To(ContainSubstring("nothing to change; revision 1"))

		for _, r := range []result{broken, diff, apply, again} {
			Expect(r.stdout + r.stderr).NotTo(Or(ContainSubstring(sheetKey), ContainSubstring(opconfig.HashAPIKey(sheetKey))))
		}
	})

	// Guards against a truncated export that removes accounts and revokes keys.
	It("refuses removals and reinstated keys without consent, and changes nothing", func() {
		Expect(runCommand("apply", morningSheet).status).To(Equal(exitOK))
		shorter := sheetHeader + "account,derwent,,,,99,20,,\nkey,new,derwent,sk-derwent-0000002,,,,,\n"
		r := runCommand("apply", shorter)
		Expect(r.status).To(Equal(exitFailure))
		Expect(r.stderr).To(ContainSubstring("nothing was changed"))
		Expect(r.stderr).To(MatchRegexp(`\nremove +account bass\nwithdraw +key +buoy`))
		Expect(load().Revision).To(Equal(int64(1)))

		Expect(runCommand("apply", shorter, "-allow-removals").status).To(Equal(exitOK))
		config := load()
		Expect(config.Accounts.Len()).To(Equal(1))
		key, _ := config.APIKeys.Get(opconfig.HashAPIKey(sheetKey))
		Expect(key.Revoked).To(BeTrue())
		Expect(config.Models).To(HaveLen(1), "types that the sheet lacks stay")

		r = runCommand("apply", morningSheet, "-allow-removals")
		Expect(r.status).To(Equal(exitFailure))
		Expect(r.stderr).To(MatchRegexp(`reinstate +key +buoy`))
		Expect(runCommand("apply", morningSheet, "-allow-removals", "-allow-reinstated").status).To(Equal(exitOK))
	})

	// Guards against an account whose removal fails or leaves its keys valid.
	It("keeps the keys of a removed account as withdrawn", func() {
		Expect(runCommand("apply", morningSheet).status).To(Equal(exitOK))
		r := runCommand("apply", sheetHeader+"account,bass,,,,5,5,,\n", "-allow-removals")
		Expect(r.status).To(Equal(exitOK), r.stderr)
		key, _ := load().APIKeys.Get(opconfig.HashAPIKey(sheetKey))
		Expect(key.Revoked).To(BeTrue())
	})

	// Guards against an apply that is repeated or reported as failed after the response to
	// its write was lost.
	It("reads back an apply whose answer was lost", func() {
		store.SetFaults(standin.StoreFaults{DropResponses: 1})
		r := runCommand("apply", morningSheet)
		Expect(r.status).To(Equal(exitOK), r.stderr)
		Expect(load().Revision).To(Equal(int64(1)))
	})

	It("fails while the store is down", func() {
		store.SetFaults(standin.StoreFaults{Outage: true})
		for _, command := range []string{"diff", "apply", "status"} {
			r := runCommand(command, morningSheet)
			Expect(r.status).To(Equal(exitFailure))
			Expect(r.stderr).To(ContainSubstring("the configuration cannot be read"))
		}
	})

	// Guards against concurrent applies in which the second operator overwrites the changes
	// of the first, or is not shown them.
	It("refuses an apply that another operator was ahead of", func() {
		racing := &racingStore{Store: etcdgw.New(store.URL())}
		racing.beforeCommit = func() {
			Expect(runCommand("apply", strings.Replace(morningSheet, "bass,,,,5,5", "bass,,,,7,7", 1)).status).To(Equal(exitOK))
		}
		s, problems := sheet.Parse(strings.NewReader(morningSheet), sheet.ParseOptions{})
		Expect(problems).To(BeEmpty())
		config := load()
		stderr := captureStderr(func() {
			Expect(applySheet(context.Background(), racing, "m.csv", config, sheet.Diff(config, s), consent{})).To(Equal(exitFailure))
		})
		Expect(stderr).To(ContainSubstring("not applied, nothing was changed: another operator's changes were accepted first; the latest revision is 1"))
		Expect(stderr).To(MatchRegexp(`add +account bass +burst=7 rate=7`))
		bass, _ := load().Accounts.Get("bass")
		Expect(bass.Rate).To(Equal(7.0))
	})

	// Guards against a row that is reported as in force on an instance that lacks it.
	It("prints the state of each row and names silent instances", func() {
		Expect(runCommand("status", morningSheet).stdout).To(ContainSubstring("row 2 account derwent: not accepted: burst=20 rate=10\n"))
		Expect(runCommand("apply", morningSheet).status).To(Equal(exitOK))
		r := runCommand("status", morningSheet)
		Expect(r.status).To(Equal(exitOK))
		Expect(r.stdout).To(ContainSubstring("row 4 key buoy: accepted\n"))

		rolledBack := operatorapi.Rollout{Target: "lantern", Version: "2", State: operatorapi.RolloutRolledBack, Reason: "errors on 9% of requests"}
		operator := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(operatorapi.Status{Instance: "a", ConfigRevision: 1, Rollouts: []operatorapi.Rollout{rolledBack},
				Peers: []operatorapi.Peer{{ID: "b", OperatorURL: "http://127.0.0.1:1"}}})
		}))
		DeferCleanup(operator.Close)
		r = runCommand("status", morningSheet, "-operator", operator.URL)
		Expect(r.status).To(Equal(exitFailure))
		Expect(r.stdout).To(ContainSubstring("revision 1 is accepted; 1 of 2 instances answered\ninstance b does not answer at http://127.0.0.1:1: "))
		Expect(r.stdout).To(ContainSubstring("row 2 account derwent: in force on 1 of 2 instances\n"))
		Expect(r.stdout).To(ContainSubstring("row 6 version lantern@2: taken back: errors on 9% of requests\n"))
	})
})

// racingStore calls beforeCommit once, before the first commit.
type racingStore struct {
	external.Store
	beforeCommit func()
}

// Commit implements external.Store.
func (s *racingStore) Commit(ctx context.Context, conditions []external.Condition, writes []external.Write) (bool, int64, error) {
	if s.beforeCommit != nil {
		s.beforeCommit()
		s.beforeCommit = nil
	}
	return s.Store.Commit(ctx, conditions, writes)
}
