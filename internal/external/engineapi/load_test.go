package engineapi

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"heatherloom/internal/external"
)

func TestEngineAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engineapi")
}

var _ = DescribeTable("the load in the Prometheus text format",
	// Guards against a load report that is misread, so that the engine is taken as idle.
	func(text string, want external.Load, valid bool) {
		load, err := parseLoad(strings.NewReader(text))
		Expect(err == nil).To(Equal(valid), "%v", err)
		Expect(load).To(Equal(want))
	},
	Entry("one series with types",
		"# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running 3\nvllm:num_requests_waiting 2\nvllm:kv_cache_usage_perc 0.5\n",
		external.Load{Running: 3, Waiting: 2, KVCacheUsage: 0.5}, true),
	Entry("a series for each model",
		"vllm:num_requests_running{model_name=\"a\"} 3\nvllm:num_requests_running{model_name=\"b\"} 4\n"+
			"vllm:gpu_cache_usage_perc{model_name=\"a\"} 0.25\nvllm:gpu_cache_usage_perc{model_name=\"b\"} 0.75\n",
		external.Load{Running: 7, KVCacheUsage: 0.75}, true),
	Entry("no running requests reported", "process_open_fds 7\n", external.Load{}, false),
	Entry("not the text format", "<html>busy</html>\n", external.Load{}, false),
)
