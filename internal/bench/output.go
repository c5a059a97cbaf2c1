package bench

import (
	"encoding/csv"
	"io"
	"os"
	"strconv"
)

// WriteFiles writes the CSV and HTML files; a file with an empty path is skipped.
func (r Report) WriteFiles(csvPath, htmlPath string) error {
	if csvPath != "" {
		if err := writeFile(csvPath, r.WriteCSV); err != nil {
			return err
		}
	}
	if htmlPath != "" {
		return writeFile(htmlPath, r.WriteHTML)
	}
	return nil
}

func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

var kindNames = []string{"review", "question", "status", "write"}

// WriteCSV writes one line for each request. Times are in milliseconds of model time.
func (r Report) WriteCSV(w io.Writer) error {
	out := csv.NewWriter(w)
	_ = out.Write([]string{"policy", "number", "at_ms", "region", "account", "kind", "prompt_tokens", "outcome", "ttft_ms", "end_ms"})
	p := r.Plan
	ms := func(micros int64) string {
		return strconv.FormatFloat(float64(micros)*p.Simulation.TimeScale/1000, 'f', 3, 64)
	}
	for i := range r.Results {
		for _, s := range r.Results[i].samples {
			a := s.arrival
			_ = out.Write([]string{
				r.Results[i].Policy, strconv.Itoa(a.number), ms(a.at.Microseconds()), p.Profile.Regions[a.region],
				p.Profile.Accounts[a.account].Name, kindNames[a.kind], strconv.Itoa(a.documentTokens), s.outcome,
				ms(s.ttft.Microseconds()), ms(s.latency.Microseconds()),
			})
		}
	}
	out.Flush()
	return out.Error()
}
