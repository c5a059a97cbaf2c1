package fleetstatus

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"heatherloom/internal/operatorapi"
)

func TestFleetStatus(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleetstatus")
}

func at(url string) *operatorapi.Client {
	return &operatorapi.Client{URL: url, HTTP: http.DefaultClient}
}

// serve starts an operator listener that answers with the value.
func serve(answer any) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != operatorapi.StatusPath {
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	DeferCleanup(server.Close)
	return server.URL
}

func names(instances []Instance) (answered, silent []string) {
	for _, i := range instances {
		if i.Status != nil {
			answered = append(answered, i.Name())
			continue
		}
		Expect(i.Err).To(HaveOccurred())
		silent = append(silent, i.Name())
	}
	return answered, silent
}

var _ = Describe("Collect", func() {
	// Guards against an instance that is counted twice, and against a silent one that
	// is not counted or not named.
	It("asks the peers and counts each instance once", func() {
		b := serve(operatorapi.Status{Instance: "b", ConfigRevision: 3, Peers: []operatorapi.Peer{{ID: "d"}, {ID: "c", OperatorURL: "http://127.0.0.1:1"}}})
		a := serve(operatorapi.Status{Instance: "a", Peers: []operatorapi.Peer{
			{ID: "b", OperatorURL: b}, {ID: "c", OperatorURL: "http://127.0.0.1:1/"}, {ID: "d"}, {ID: "a", OperatorURL: "http://127.0.0.1:2"},
		}})
		instances := Collect(context.Background(), at, []string{a, a + "/", "http://127.0.0.1:3"})
		answered, silent := names(instances)
		Expect(answered).To(Equal([]string{"a", "b"}))
		Expect(silent).To(Equal([]string{"c", "d", "http://127.0.0.1:3"}))
	})

	// Guards against an instance that is counted once for each of its addresses.
	It("counts an instance with several addresses once", func() {
		b := operatorapi.Status{Instance: "b"}
		a := operatorapi.Status{Instance: "a", Peers: []operatorapi.Peer{{ID: "b", OperatorURL: "http://127.0.0.1:1"}}}
		answered, silent := names(Collect(context.Background(), at, []string{serve(a), serve(b), serve(b)}))
		Expect(answered).To(Equal([]string{"a", "b"}))
		Expect(silent).To(BeEmpty())
	})

	// Guards against an answer of another program that passes as a status.
	It("counts unusable answers as silent", func() {
		_, silent := names(Collect(context.Background(), at, []string{serve("text"), serve(operatorapi.Status{})}))
		Expect(silent).To(HaveLen(2))
	})

	It("asks nobody without a URL", func() {
		Expect(Collect(context.Background(), at, nil)).To(BeEmpty())
	})
})
