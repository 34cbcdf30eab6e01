package instance

import (
	"context"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/control/roster"
	"mustardsaddle.example/mustardsaddle/internal/request/drain"
)

// callPollInterval is the interval at which the end of a stop checks for calls in flight.
const callPollInterval = 5 * time.Millisecond

// stop shuts down gracefully and returns how many calls in flight it ended. Calls are ended
// only by the end of the platform's grace period.
func (in *instance) stop() int {
	event.Info(in.cfg.Logger, event.StopBegun).Int("InFlight", in.gateway.InFlight()).Send()
	in.stopping.Store(true)
	now, stop := time.Now(), in.current.Load().Stop
	period := drain.New(drain.Config{Begun: now, Lag: stop.Lag, Grace: stop.Grace})
	in.gateway.SetStopping(period)
	leaving := mustardsaddle.Mark{Name: in.self.Name, Incarnation: in.self.Incarnation, Seq: roster.FinalSeq, Leaving: true}
	in.floodNew("", in.membership.applyMarks(now, []mustardsaddle.Mark{leaving}))
	var periodEnded <-chan time.Time
	if left, limited := period.Left(now); limited {
		timer := time.NewTimer(left)
		defer timer.Stop()
		periodEnded = timer.C
	}
	<-time.After(period.Lag(now))
	return in.shutdown(period, periodEnded)
}

// shutdown waits for the calls in flight until all have finished or the period has ended. It
// returns how many calls it ended.
func (in *instance) shutdown(period drain.Period, periodEnded <-chan time.Time) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		// Both fail only if the context is canceled.
		_ = in.gateway.Shutdown(ctx, in.callerServer)
		in.peerIdle.Drain(ctx, in.gateway.InFlight)
		_ = in.peerServer.Shutdown(ctx)
	}()
	select {
	case <-stopped:
		return 0
	case <-periodEnded:
	}
	in.gateway.EndCalls()
	select {
	case <-stopped:
	case <-time.After(period.Flush()):
	}
	cancel()
	<-stopped
	_ = in.callerServer.Close()
	_ = in.peerServer.Close()
	in.waitNoCalls(period.Flush())
	return in.gateway.CallsEnded()
}

// waitNoCalls waits until no call is in flight, at most for the given time. Calls whose
// connections are closed end at once.
func (in *instance) waitNoCalls(limit time.Duration) {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	poll := time.NewTicker(callPollInterval)
	defer poll.Stop()
	for in.gateway.InFlight() > 0 {
		select {
		case <-poll.C:
		case <-timeout.C:
			return
		}
	}
}
