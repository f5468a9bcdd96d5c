package transport

// maxIdleWorkers bounds the goroutines that wait for tasks.
const maxIdleWorkers = 32

// workers runs tasks in goroutines that are kept for further tasks, because most tasks need a larger stack than a new goroutine has.
type workers struct {
	// tasks has no buffer: a task is taken by a goroutine that waits, or gets a new one.
	tasks chan func()
	// idle has an element for each goroutine that waits.
	idle chan struct{}
	done <-chan struct{}
}

// newWorkers returns workers that end when done is closed.
func newWorkers(done <-chan struct{}) *workers {
	return &workers{tasks: make(chan func()), idle: make(chan struct{}, maxIdleWorkers), done: done}
}

// run runs a task without blocking.
func (w *workers) run(task func()) {
	select {
	case w.tasks <- task:
	default:
		go w.work(task)
	}
}

// work runs a task and those that follow, until there are enough other goroutines that wait.
func (w *workers) work(task func()) {
	for {
		task()
		select {
		case w.idle <- struct{}{}:
		default:
			return
		}
		select {
		case task = <-w.tasks:
			<-w.idle
		case <-w.done:
			return
		}
	}
}
