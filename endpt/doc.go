// Package endpt is the client of endpoints: workers that run tasks in slots.
//
// A worker speaks HTTP:
//
//	POST /run                   run a task; the body is streamed both ways.
//	    request headers:  Task (id), Pool, Queue, Kind, Slots, Lease (duration).
//	    A task with a lease runs until the lease ends, even if its connection
//	    breaks; one without a lease is stopped when its connection ends.
//	    response headers: Task, the id of the task the answer belongs to
//	    A refusal before the start has status 503 and a header Refused with one of
//	    full, leaving, duplicate. It means that this dispatch was not run;
//	    duplicate also means that the same id was started before.
//	GET  /tasks/ID              {"state":"running|done|failed","boot"}; 404 if never seen
//	GET  /tasks/ID/result       the answer of a task that is done
//	PUT  /tasks/ID/lease?ttl=D  renew the task's lease; a task whose lease ends is stopped
//	POST /tasks/ID/stop         stop the task
//	POST /tasks/ID/checkpoint   {"mark"}; 409 if the task can't make a checkpoint
//	POST /tasks/ID/throttle?share=F
//	GET  /usage                 {"boot","slots","busy","pools":{POOL:tasks},"lag","open"};
//	                            open is false on a worker that refuses tasks as leaving
//
// A worker keeps the results of ended tasks for a limited time. A reboot changes
// its boot id and discards all tasks.
package endpt
