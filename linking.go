package almondcross

//go:generate go run ./tools/valuer -output linking_generated.go linking.go

// LinkKind is the kind of a message on a link, as metrics and reports name it.
type LinkKind string

// The kinds of messages on links.
const (
	LinkHello            LinkKind = "hello"          // LinkHello is a HostHello.
	LinkAssigned         LinkKind = "assign"         // LinkAssigned is a RoleAssigned.
	LinkPeers            LinkKind = "peers"          // LinkPeers is a PeersKnown.
	LinkBatches          LinkKind = "journal_push"   // LinkBatches is a JournalPushed.
	LinkAllViews         LinkKind = "all_views"      // LinkAllViews is a ViewsPushed with all views.
	LinkViews            LinkKind = "views"          // LinkViews is a ViewsPushed with changed views.
	LinkOrders           LinkKind = "orders"         // LinkOrders is an OrdersRelayed.
	LinkOrderAnswers     LinkKind = "order_answers"  // LinkOrderAnswers is an OrdersAnswered.
	LinkAdviceQuery      LinkKind = "advice_query"   // LinkAdviceQuery is an AdviceQuery.
	LinkAdviceAnswer     LinkKind = "advice_answer"  // LinkAdviceAnswer is an AdviceAnswered.
	LinkIntakesForwarded LinkKind = "intake_forward" // LinkIntakesForwarded is an IntakeForwarded.
	LinkIntakesStored    LinkKind = "intake_stored"  // LinkIntakesStored is an IntakeStored.
	LinkViewsAssigned    LinkKind = "views_assign"   // LinkViewsAssigned is a ViewsAssigned.
	LinkViewNumbers      LinkKind = "view_number"    // LinkViewNumbers is a ViewsNumbered.
	LinkViewsMissed      LinkKind = "views_missed"   // LinkViewsMissed is a ViewsMissed.
	LinkViewerHello      LinkKind = "viewer_hello"   // LinkViewerHello is a ViewerHello.
	LinkRoutesKnown      LinkKind = "routes_known"   // LinkRoutesKnown is a RoutesKnown.
	LinkRoutesWanted     LinkKind = "routes_wanted"  // LinkRoutesWanted is a RoutesWanted.
	LinkRoutes           LinkKind = "routes"         // LinkRoutes is a RoutesSent.
	LinkUnknown          LinkKind = "unknown"        // LinkUnknown is a message that cannot be decoded.
)

// LinkKinds returns all kinds, in the order of reports.
func LinkKinds() []LinkKind {
	return []LinkKind{
		LinkHello, LinkAssigned, LinkPeers, LinkBatches, LinkAllViews, LinkViews, LinkOrders, LinkOrderAnswers, LinkAdviceQuery,
		LinkAdviceAnswer, LinkIntakesForwarded, LinkIntakesStored, LinkViewsAssigned, LinkViewNumbers, LinkViewsMissed, LinkViewerHello,
		LinkRoutesKnown, LinkRoutesWanted, LinkRoutes, LinkUnknown,
	}
}

// KindOfLink returns the kind of a link message, LinkUnknown for none.
func KindOfLink(message LinkMessage) LinkKind {
	if message == nil {
		return LinkUnknown
	}
	return message.LinkKind()
}

// LinkKind returns LinkHello.
func (HostHello) LinkKind() LinkKind { return LinkHello }

// LinkKind returns LinkPeers.
func (PeersKnown) LinkKind() LinkKind { return LinkPeers }

// LinkKind returns LinkAdviceQuery.
func (AdviceQuery) LinkKind() LinkKind { return LinkAdviceQuery }

// LinkKind returns LinkAdviceAnswer.
func (AdviceAnswered) LinkKind() LinkKind { return LinkAdviceAnswer }

// LinkKind returns LinkAssigned.
func (RoleAssigned) LinkKind() LinkKind { return LinkAssigned }

// LinkKind returns LinkBatches.
func (JournalPushed) LinkKind() LinkKind { return LinkBatches }

// LinkKind returns LinkIntakesForwarded.
func (IntakeForwarded) LinkKind() LinkKind { return LinkIntakesForwarded }

// LinkKind returns LinkIntakesStored.
func (IntakeStored) LinkKind() LinkKind { return LinkIntakesStored }

// LinkKind returns LinkOrders.
func (OrdersRelayed) LinkKind() LinkKind { return LinkOrders }

// LinkKind returns LinkOrderAnswers.
func (OrdersAnswered) LinkKind() LinkKind { return LinkOrderAnswers }

// LinkKind returns LinkViewsAssigned.
func (ViewsAssigned) LinkKind() LinkKind { return LinkViewsAssigned }

// LinkKind returns LinkViewNumbers.
func (ViewsNumbered) LinkKind() LinkKind { return LinkViewNumbers }

// LinkKind returns LinkViewsMissed.
func (ViewsMissed) LinkKind() LinkKind { return LinkViewsMissed }

// LinkKind returns LinkViewerHello.
func (ViewerHello) LinkKind() LinkKind { return LinkViewerHello }

// LinkKind returns LinkRoutesKnown.
func (RoutesKnown) LinkKind() LinkKind { return LinkRoutesKnown }

// LinkKind returns LinkRoutesWanted.
func (RoutesWanted) LinkKind() LinkKind { return LinkRoutesWanted }

// LinkKind returns LinkRoutes.
func (RoutesSent) LinkKind() LinkKind { return LinkRoutes }

// LinkKind returns LinkAllViews for all views and LinkViews for changed ones.
func (viewspushed ViewsPushed) LinkKind() LinkKind {
	if viewspushed.Reset() {
		return LinkAllViews
	}
	return LinkViews
}

// LinkTraffic is what has passed over the links of a host in messages of one kind, without pings and the headers of frames.
//
//value:generate
type LinkTraffic struct {
	kind             LinkKind // the kind of the messages
	sentBytes        int64    // the bytes of the sent messages
	sentMessages     int64    // the number of sent messages
	receivedBytes    int64    // the bytes of the received messages
	receivedMessages int64    // the number of received messages
}

// Since returns the traffic since an earlier time.
func (linktraffic LinkTraffic) Since(earlier LinkTraffic) LinkTraffic {
	linktraffic.sentBytes -= earlier.sentBytes
	linktraffic.sentMessages -= earlier.sentMessages
	linktraffic.receivedBytes -= earlier.receivedBytes
	linktraffic.receivedMessages -= earlier.receivedMessages
	return linktraffic
}

// LinkMeter counts the messages on the links of a host. Any goroutine may call it.
type LinkMeter interface {
	// Sent counts a message that was written to a connection.
	Sent(kind LinkKind, bytes int)
	// Received counts a message that was read from a connection.
	Received(kind LinkKind, bytes int)
}
