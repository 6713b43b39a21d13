package follower

import "github.com/almondcross/almondcross"

// maxRejections is the number of rejected versions that a host remembers so as to log each of them once.
const maxRejections = 1000

// rejections logs each version of the configuration that cannot be put in force, once. It belongs to the duty that reads them.
type rejections struct {
	log      almondcross.EventLog
	count    func()             // count is called for each of them, nil for none.
	inForce  int64              // inForce is the highest version that was read, 0 for none.
	reported map[int64]struct{} // reported holds the offsets of the reported records.
}

// report logs a record. The reason of a decoder has no keys.
func (rejections *rejections) report(record almondcross.KeyedRecord, reason error) {
	if _, known := rejections.reported[record.Offset()]; known {
		return
	}
	if len(rejections.reported) >= maxRejections {
		clear(rejections.reported)
	}
	rejections.reported[record.Offset()] = struct{}{}
	if rejections.count != nil {
		rejections.count()
	}
	rejections.log.Record("routes_rejected", almondcross.Number("offset", record.Offset()), almondcross.Number("in_force", rejections.inForce),
		almondcross.Text("reason", reason.Error()))
}
