package clock

import (
	"container/heap"
	"context"
	"time"
)

// Virtual is a clock for deterministic simulations. It runs tasks one at a time in a fixed order, and its time
// advances only when all tasks are waiting. Tasks must block only in Sleep, Parallel and the Wait of signals.
type Virtual struct {
	now       time.Time
	ready     []*task
	timers    timerHeap
	timersSet uint64
	current   *task
	yielded   chan struct{}
}

type task struct {
	resume chan struct{}
	// wakeup is the timer that the task waits for, or nil.
	wakeup *timer
}

type timer struct {
	at time.Time
	// order sorts timers for the same time by when they were set.
	order     uint64
	task      *task
	cancelled bool
}

type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(item any) {
	*h = append(*h, item.(*timer))
}
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	*h = (*h)[:last]
	return item
}

// NewVirtual returns a Virtual whose time is start.
func NewVirtual(start time.Time) *Virtual {
	return &Virtual{now: start, yielded: make(chan struct{})}
}

// Run runs first as a task and returns when no task can continue: all have ended or wait for signals that no
// task can fire any more.
func (v *Virtual) Run(first func()) {
	v.Go(first)
	for v.next() {
		v.current.resume <- struct{}{}
		<-v.yielded
	}
}

// next makes the next ready task the current one. If none is ready, it advances the time to the next timer. It
// returns false if there is no task to run.
func (v *Virtual) next() bool {
	for len(v.ready) == 0 {
		if len(v.timers) == 0 {
			return false
		}
		earliest := heap.Pop(&v.timers).(*timer)
		if earliest.cancelled {
			continue
		}
		v.now = earliest.at
		earliest.task.wakeup = nil
		v.ready = append(v.ready, earliest.task)
	}
	v.current = v.ready[0]
	v.ready = v.ready[1:]
	return true
}

// Go starts a task, which first runs when the calling task waits or ends.
func (v *Virtual) Go(run func()) {
	started := &task{resume: make(chan struct{})}
	v.ready = append(v.ready, started)
	go func() {
		<-started.resume
		run()
		v.yielded <- struct{}{}
	}()
}

// Now implements Clock.
func (v *Virtual) Now() time.Time { return v.now }

// Sleep suspends the calling task for duration.
func (v *Virtual) Sleep(duration time.Duration) {
	v.setTimer(v.current, duration)
	v.yield(v.current)
}

func (v *Virtual) setTimer(waiting *task, duration time.Duration) {
	v.timersSet++
	waiting.wakeup = &timer{at: v.now.Add(max(0, duration)), order: v.timersSet, task: waiting}
	heap.Push(&v.timers, waiting.wakeup)
}

func (v *Virtual) yield(waiting *task) {
	v.yielded <- struct{}{}
	<-waiting.resume
}

// NewSignal implements Clock.
func (v *Virtual) NewSignal() Signal { return &virtualSignal{clock: v} }

type virtualSignal struct {
	clock  *Virtual
	fired  bool
	waiter *task
}

func (s *virtualSignal) Fire() {
	if s.fired {
		return
	}
	s.fired = true
	if s.waiter == nil {
		return
	}
	if s.waiter.wakeup != nil {
		s.waiter.wakeup.cancelled = true
		s.waiter.wakeup = nil
	}
	s.clock.ready = append(s.clock.ready, s.waiter)
	s.waiter = nil
}

// Wait ignores the context: the tasks of a virtual run can't be cancelled one by one.
func (s *virtualSignal) Wait(_ context.Context, limit time.Duration) bool {
	if s.fired {
		return true
	}
	s.waiter = s.clock.current
	s.clock.setTimer(s.waiter, limit)
	s.clock.yield(s.waiter)
	s.waiter = nil
	return s.fired
}

// Forever is a time limit longer than any virtual run.
const Forever = 1000 * time.Hour

// Parallel runs each function as a task and waits until all have returned.
func (v *Virtual) Parallel(runs ...func()) {
	if len(runs) == 0 {
		return
	}
	remaining := len(runs)
	done := v.NewSignal()
	for _, run := range runs {
		v.Go(func() {
			run()
			remaining--
			if remaining == 0 {
				done.Fire()
			}
		})
	}
	done.Wait(context.Background(), Forever)
}
