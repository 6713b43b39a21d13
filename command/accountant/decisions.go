package accountant

import "github.com/almondcross/almondcross"

// decisionBuffer holds the most recent decisions in a circular buffer.
type decisionBuffer struct {
	capacity    int
	events      []almondcross.DecisionEvent
	oldest      int // the index of the oldest event once the buffer is full
	overwritten bool
}

func (decisionbuffer *decisionBuffer) add(event almondcross.DecisionEvent) {
	if len(decisionbuffer.events) < decisionbuffer.capacity {
		decisionbuffer.events = append(decisionbuffer.events, event)
		return
	}
	decisionbuffer.events[decisionbuffer.oldest] = event
	decisionbuffer.oldest = (decisionbuffer.oldest + 1) % decisionbuffer.capacity
	decisionbuffer.overwritten = true
}

// find returns the most recent events of a key or an entry, oldest first, up to the limit of the query.
func (decisionbuffer *decisionBuffer) find(query almondcross.DecisionQuery) almondcross.DecisionHistory {
	var events []almondcross.DecisionEvent
	for index := range decisionbuffer.events {
		event := decisionbuffer.events[(decisionbuffer.oldest+index)%len(decisionbuffer.events)]
		if query.Entry() != "" && event.Entry() != query.Entry() {
			continue
		}
		if query.Key() != (almondcross.Key{}) && event.Key() != query.Key() {
			continue
		}
		events = append(events, event)
	}
	truncated := decisionbuffer.overwritten
	if query.Limit() > 0 && len(events) > query.Limit() {
		events, truncated = events[len(events)-query.Limit():], true
	}
	return almondcross.NewDecisionHistory(almondcross.DecisionHistoryConfig{Events: events, Truncated: truncated})
}
