package emulator

import "github.com/almondcross/almondcross"

// orderNames holds the names of the kinds of orders in the log. A String method would change the draws of randomFor.
var orderNames = [...]string{orderStart: "start", orderStop: "stop", orderLease: "lease"}

// noteReport notes the incarnation and the ends of a report that a host has read.
func (modelhost *modelHost) noteReport(report almondcross.WorkerReport) {
	read := modelhost.readIncarnations[report.ID()]
	if report.Incarnation() < read {
		modelhost.simulation.config.Log.Record("report_out_of_turn", almondcross.Text("worker", report.ID()),
			almondcross.Number("incarnation", report.Incarnation()), almondcross.Number("read", read),
			almondcross.Text("host", modelhost.name), almondcross.Millis("at_ms", modelhost.simulation.now-warmUp))
	}
	modelhost.readIncarnations[report.ID()] = max(read, report.Incarnation())
	worker := modelhost.simulation.worker(report.ID())
	if worker == nil || worker.bootMillis != report.Incarnation() {
		return
	}
	for _, end := range report.Ended() {
		worker.readThrough = max(worker.readThrough, end.Sequence())
	}
}

// traceOrder logs an order that another incarnation executes than the one that its sender knew.
func (simulation *Simulation) traceOrder(order workerOrder, worker *modelWorker, delivered delivery) {
	if order.listOnly || delivered.knownIncarnation == 0 || delivered.knownIncarnation == worker.bootMillis {
		return
	}
	late := "no"
	if delivered.late {
		late = "yes"
	}
	simulation.config.Log.Record("order_reached_next_incarnation", almondcross.Text("kind", orderNames[order.kind]),
		almondcross.Text("task", order.task.String()), almondcross.Number("run", order.run), almondcross.Text("worker", worker.id),
		almondcross.Number("known", delivered.knownIncarnation), almondcross.Number("incarnation", worker.bootMillis), almondcross.Text("late", late),
		almondcross.Text("host", delivered.sender.name), almondcross.Millis("sent_ms", delivered.sentAt-warmUp), almondcross.Millis("at_ms", simulation.now-warmUp))
}

// traceUnreadEnd logs an end that a lease order removes before any host has read it.
func (modelworker *modelWorker) traceUnreadEnd(end almondcross.EndedTask, acknowledged int64) {
	if end.Sequence() <= modelworker.readThrough {
		return
	}
	modelworker.simulation.config.Log.Record("unread_end_removed", almondcross.Text("worker", modelworker.id),
		almondcross.Text("task", end.Task().String()), almondcross.Number("run", end.Run()), almondcross.Text("end", string(end.Kind())),
		almondcross.Number("sequence", end.Sequence()), almondcross.Number("acknowledged", acknowledged),
		almondcross.Millis("at_ms", modelworker.simulation.now-warmUp))
}
