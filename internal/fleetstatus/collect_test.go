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

func newClient(url string) *operatorapi.Client {
	return &operatorapi.Client{URL: url, HTTP: http.DefaultClient}
}

// serve starts an operator listener that responds with the given status.
func serve(status any) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != operatorapi.StatusPath {
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(status)
	}))
	DeferCleanup(server.Close)
	return server.URL
}

func names(instances []Instance) (responded, failed []string) {
	for _, i := range instances {
		if i.Status != nil {
			responded = append(responded, i.Name())
			continue
		}
		Expect(i.Err).To(HaveOccurred())
		failed = append(failed, i.Name())
	}
	return responded, failed
}

var _ = Describe("Collect", func() {
	// Guards against an instance that is counted twice, and against one without a response
	// that is not counted or not named.
	It("asks the peers and counts each instance once", func() {
		b := serve(operatorapi.Status{Instance: "b", ConfigRevision: 3, Peers: []operatorapi.Peer{{ID: "d"}, {ID: "c", OperatorURL: "http://127.0.0.1:1"}}})
		a := serve(operatorapi.Status{Instance: "a", Peers: []operatorapi.Peer{
			{ID: "b", OperatorURL: b}, {ID: "c", OperatorURL: "http://127.0.0.1:1/"}, {ID: "d"}, {ID: "a", OperatorURL: "http://127.0.0.1:2"},
		}})
		instances := Collect(context.Background(), newClient, []string{a, a + "/", "http://127.0.0.1:3"})
		responded, failed := names(instances)
		Expect(responded).To(Equal([]string{"a", "b"}))
		Expect(failed).To(Equal([]string{"c", "d", "http://127.0.0.1:3"}))
	})

	// Guards against an instance that is counted once for each of its addresses.
	It("counts an instance with several addresses once", func() {
		b := operatorapi.Status{Instance: "b"}
		a := operatorapi.Status{Instance: "a", Peers: []operatorapi.Peer{{ID: "b", OperatorURL: "http://127.0.0.1:1"}}}
		responded, failed := names(Collect(context.Background(), newClient, []string{serve(a), serve(b), serve(b)}))
		Expect(responded).To(Equal([]string{"a", "b"}))
		Expect(failed).To(BeEmpty())
	})

	// Guards against the response of another program that is accepted as a status.
	It("counts unusable answers as silent", func() {
		_, failed := names(Collect(context.Background(), newClient, []string{serve("text"), serve(operatorapi.Status{})}))
		Expect(failed).To(HaveLen(2))
	})

	It("asks nobody without a URL", func() {
		Expect(Collect(context.Background(), newClient, nil)).To(BeEmpty())
	})
})
