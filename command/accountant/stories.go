package accountant

import "github.com/almondcross/almondcross"

// stories holds the last decisions in a circular buffer.
type stories struct {
	capacity int
	events   []almondcross.StoryEvent
	first    int // the index of the oldest event once the buffer is full
	lost     bool
}

func (stories *stories) add(event almondcross.StoryEvent) {
	if len(stories.events) < stories.capacity {
		stories.events = append(stories.events, event)
		return
	}
	stories.events[stories.first] = event
	stories.first = (stories.first + 1) % stories.capacity
	stories.lost = true
}

// find returns the last events of a key or an entry, in order.
func (stories *stories) find(query almondcross.StoryQuery) almondcross.Story {
	var events []almondcross.StoryEvent
	for index := range stories.events {
		event := stories.events[(stories.first+index)%len(stories.events)]
		if query.Entry() != "" && event.Entry() != query.Entry() {
			continue
		}
		if query.Key() != (almondcross.Key{}) && event.Key() != query.Key() {
			continue
		}
		events = append(events, event)
	}
	truncated := stories.lost
	if query.Limit() > 0 && len(events) > query.Limit() {
		events, truncated = events[len(events)-query.Limit():], true
	}
	return almondcross.NewStory(almondcross.StoryConfig{Events: events, Truncated: truncated})
}
