package drain

import (
	"context"
	"errors"
	"testing"
	"time"

	"heatherloom/internal/errkind"
)

func TestDrainEndsInTimeWithRequestsThatDoNot(t *testing.T) {
	for name, respond := range map[string]bool{"requests respond": true, "requests hang": false} {
		c := NewController()
		if err := c.Acquire(Demand{}); err != nil {
			t.Fatal(err)
		}
		if respond {
			context.AfterFunc(c.Context(), func() {
				c.CountInterrupted(errkind.ExecutionUnknown, false)
				c.Release()
			})
		}
		c.RequestDrain("test")
		started := time.Now()
		err := c.Run(context.Background(), Schedule{Announced: 10 * time.Millisecond, Interrupt: 50 * time.Millisecond, Respond: 100 * time.Millisecond})
		p := c.Progress()
		if !errors.Is(err, ErrInterrupted) || p.Phase != Drained || time.Since(started) > time.Second {
			t.Errorf("%s: %v in phase %s after %s", name, err, p.Phase, time.Since(started))
		}
		if want := (Counts{ExecutionUnknown: 1}); respond && p.Counts != want {
			t.Errorf("%s: counts %+v, want %+v", name, p.Counts, want)
		}
		if want := (Counts{Unanswered: 1}); !respond && p.Counts != want {
			t.Errorf("%s: counts %+v, want %+v", name, p.Counts, want)
		}
	}
}
