package placer_test

import (
	"fmt"
	"time"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/placer"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/timekeeper"
)

func Example() {
	clock := timekeeper.NewFake(time.Unix(0, 0))
	p := placer.New(clock)
	p.PutWorker(placer.NewWorker("worker-1", "rack-1", "klein-hall", sizer.New(16_000, 64<<30, 0)))
	p.SetWorkerState("worker-1", placer.Open)

	for i := range 2 {
		id := namer.TaskID{
			Job:   "curves",
			Index: i,
		}
		p.Submit(placer.NewTask(id, "omuti", placer.BatchPolicy{}, sizer.New(10_000, 8<<30, 0)))
	}
	for _, decision := range p.Tick() {
		switch d := decision.(type) {
		case placer.Place:
			fmt.Println("start", d.Ref().Task, "on", d.Worker())
		case placer.Overflow:
			fmt.Println("no room for", d.Task().ID())
		}
	}
	why, _ := p.Why(namer.TaskID{
		Job:   "curves",
		Index: 1,
	})
	fmt.Println(why)
	// Output:
	// start curves/0 on worker-1
	// no room for curves/1
	// pending: room; of 1 workers 1 lack cores
}
