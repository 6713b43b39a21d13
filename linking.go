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

// KindOfLink returns the kind of a link message.
func KindOfLink(message LinkMessage) LinkKind {
	switch message := message.(type) {
	case ViewsPushed:
		if message.Reset() {
			return LinkAllViews
		}
		return LinkViews
	case HostHello:
		return LinkHello
	case RoleAssigned:
		return LinkAssigned
	case PeersKnown:
		return LinkPeers
	case JournalPushed:
		return LinkBatches
	case OrdersRelayed:
		return LinkOrders
	case OrdersAnswered:
		return LinkOrderAnswers
	case AdviceQuery:
		return LinkAdviceQuery
	case AdviceAnswered:
		return LinkAdviceAnswer
	case IntakeForwarded:
		return LinkIntakesForwarded
	case IntakeStored:
		return LinkIntakesStored
	default:
		return kindOfViewLink(message)
	}
}

// kindOfViewLink is the part of KindOfLink for the messages of cells with relays of views.
func kindOfViewLink(message LinkMessage) LinkKind {
	switch message.(type) {
	case ViewsAssigned:
		return LinkViewsAssigned
	case ViewsNumbered:
		return LinkViewNumbers
	case ViewsMissed:
		return LinkViewsMissed
	case ViewerHello:
		return LinkViewerHello
	}
	return kindOfRoutesLink(message)
}

// kindOfRoutesLink is the part of KindOfLink for the messages that replicate the configuration.
func kindOfRoutesLink(message LinkMessage) LinkKind {
	switch message.(type) {
	case RoutesKnown:
		return LinkRoutesKnown
	case RoutesWanted:
		return LinkRoutesWanted
	case RoutesSent:
		return LinkRoutes
	}
	return LinkUnknown
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
