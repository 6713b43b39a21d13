package configurator

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/parser"
)

// shortestToken is the least length of a secret; 16 random characters cannot be guessed over HTTP.
const shortestToken = 16

// role is the first key of every settings file.
type role struct {
	Role Role
}

// tokenDraft is a token as the file holds it, with its position.
type tokenDraft struct {
	Name   string
	Secret string
	lines  parser.Lines
}

func (tokendraft tokenDraft) token(role almondcross.Role) Token {
	return almondcross.NewToken(almondcross.TokenConfig{Name: tokendraft.Name, Role: role, Secret: tokendraft.Secret})
}

// peerDraft is a peer as the file holds it, with its position.
type peerDraft struct {
	PeerSettingsConfig
	lines parser.Lines
}

func keepTokenLines(lines parser.Lines, token *tokenDraft) error {
	token.lines = lines
	return nil
}

func keepPeerLines(lines parser.Lines, peer *peerDraft) error {
	peer.lines = lines
	return nil
}

// entryDraft is what an entry file holds before it is checked as a whole.
type entryDraft struct {
	role
	EntrySettingsConfig
	peers                         []peerDraft
	operators, reporters, callers []tokenDraft
}

var tokenFields = []parser.Field[tokenDraft]{
	parser.Name(parser.About{Key: "name", Description: "the name of the bearer, as the audit trail and keys show it"},
		func(token *tokenDraft) *string { return &token.Name }),
	parser.Secret(parser.About{Key: "token", Description: "the secret that the bearer sends in the Authorization header"},
		shortestToken, func(token *tokenDraft) *string { return &token.Secret }),
}

var peerFields = []parser.Field[peerDraft]{
	parser.Name(parser.About{Key: "name", Description: "the name of the entry host"},
		func(peer *peerDraft) *string { return &peer.Name }),
	parser.Name(parser.About{Key: "data_centre", Description: "the data centre of the entry host"},
		func(peer *peerDraft) *string { return &peer.DataCentre }),
	parser.Address(parser.About{Key: "address", Description: "the IP address and port of its peer link"},
		false, func(peer *peerDraft) *string { return &peer.Address }),
}

var entryFields = []parser.Field[entryDraft]{
	parser.Choice(parser.About{Key: "role", Description: "the role of the process"},
		[]Role{RoleEntry}, func(draft *entryDraft) *Role { return &draft.Role }),
	parser.Name(parser.About{Key: "name", Description: "the name of the host, unique in the cell"},
		func(draft *entryDraft) *string { return &draft.Name }),
	parser.Name(parser.About{Key: "data_centre", Description: "the data centre of the host"},
		func(draft *entryDraft) *string { return &draft.DataCentre }),
	parser.Name(parser.About{Key: "region", Description: "the region of the data centre"},
		func(draft *entryDraft) *string { return &draft.Region }),
	parser.Address(parser.About{Key: "listen", Description: "the address on which callers and operators are served"},
		true, func(draft *entryDraft) *string { return &draft.Listen }),
	parser.Address(parser.About{Key: "advertise", Description: "the address at which callers and operators reach the host"},
		false, func(draft *entryDraft) *string { return &draft.Advertise }),
	parser.Address(parser.About{Key: "peer_listen", Description: "the address on which peers are served"},
		true, func(draft *entryDraft) *string { return &draft.PeerListen }),
	parser.Address(parser.About{Key: "peer_advertise", Description: "the address at which peers reach the host"},
		false, func(draft *entryDraft) *string { return &draft.PeerAdvertise }),
	parser.Names(parser.About{Key: "data_centres", Description: "all data centres of the cell"},
		1, func(draft *entryDraft) *[]string { return &draft.DataCentres }),
	parser.Objects(parser.About{Key: "peers", Default: "[]", Description: "the other entry hosts of the cell"},
		peerFields, keepPeerLines, func(draft *entryDraft) *[]peerDraft { return &draft.peers }),
	parser.Address(parser.About{Key: "log_address", Description: "the address of the platform's log"},
		false, func(draft *entryDraft) *string { return &draft.LogAddress }),
	parser.Address(parser.About{Key: "live_list_address", Description: "the address of the platform's live list"},
		false, func(draft *entryDraft) *string { return &draft.LiveListAddress }),
	parser.Objects(parser.About{Key: "operators", Default: "[]", Description: "who may change the catalogue and read reports"},
		tokenFields, keepTokenLines, func(draft *entryDraft) *[]tokenDraft { return &draft.operators }),
	parser.Objects(parser.About{Key: "reporters", Default: "[]", Description: "who may read reports and the catalogue"},
		tokenFields, keepTokenLines, func(draft *entryDraft) *[]tokenDraft { return &draft.reporters }),
	parser.Objects(parser.About{Key: "callers", Default: "[]", Description: "who may send requests; the name is part of each key"},
		tokenFields, keepTokenLines, func(draft *entryDraft) *[]tokenDraft { return &draft.callers }),
	parser.Duration(parser.About{Key: "stop_grace", Default: `"20s"`, Description: "the time that a planned stop leaves for requests in flight"},
		0, time.Hour, func(draft *entryDraft) *time.Duration { return &draft.StopGrace }),
	parser.Duration(parser.About{Key: "request_timeout", Default: `"30s"`, Description: "the time that a request waits when its caller gives none"},
		time.Millisecond, 24*time.Hour, func(draft *entryDraft) *time.Duration { return &draft.RequestTimeout }),
	parser.Duration(parser.About{Key: "request_timeout_max", Default: `"10m"`, Description: "the longest time that a request waits for its outcome"},
		time.Millisecond, 24*time.Hour, func(draft *entryDraft) *time.Duration { return &draft.RequestTimeoutMax }),
	parser.Duration(parser.About{Key: "change_timeout", Default: `"10s"`, Description: "the time that an operator waits for the outcome of a change"},
		100*time.Millisecond, 10*time.Minute, func(draft *entryDraft) *time.Duration { return &draft.ChangeTimeout }),
	parser.Duration(parser.About{Key: "query_timeout", Default: `"10s"`, Description: "the time within which a query is answered"},
		100*time.Millisecond, 10*time.Minute, func(draft *entryDraft) *time.Duration { return &draft.QueryTimeout }),
	parser.Duration(parser.About{Key: "log_timeout", Default: `"2s"`, Description: "the time after which a call to the log counts as lost"},
		10*time.Millisecond, time.Minute, func(draft *entryDraft) *time.Duration { return &draft.LogTimeout }),
	parser.Duration(parser.About{Key: "worker_timeout", Default: `"1s"`, Description: "the time after which a call to a worker counts as lost"},
		10*time.Millisecond, almondcross.HolderLease, func(draft *entryDraft) *time.Duration { return &draft.WorkerTimeout }),
	parser.Duration(parser.About{Key: "claim_horizon", Default: `"1488h"`, Description: "the age after which a key that may not be repeated is refused; 62 days cover a monthly run and its repetition"},
		time.Hour, 1488*time.Hour, func(draft *entryDraft) *time.Duration { return &draft.ClaimHorizon }),
	parser.Duration(parser.About{Key: "account_interval", Default: `"10s"`, Description: "the length of an interval of the account"},
		time.Second, 10*time.Minute, func(draft *entryDraft) *time.Duration { return &draft.AccountInterval }),
	parser.Choice(parser.About{Key: "placement", Default: `"packed"`, Description: "the placement policy"},
		[]PlacementName{PlacementPacked, PlacementLeastLoaded}, func(draft *entryDraft) *PlacementName { return &draft.Placement }),
	parser.Choice(parser.About{Key: "share", Default: `"dominant"`, Description: "the share policy"},
		[]ShareName{ShareDominant}, func(draft *entryDraft) *ShareName { return &draft.Share }),
	parser.Choice(parser.About{Key: "log_format", Default: `"text"`, Description: "the format of log lines"},
		[]LogFormat{LogText, LogJSON}, func(draft *entryDraft) *LogFormat { return &draft.LogFormat }),
}

// ParseEntry reads the settings of an entry host.
func ParseEntry(file string, source []byte) (EntrySettings, error) {
	var draft entryDraft
	lines, err := parseDraft(file, source, entryFields, &draft)
	if err != nil {
		return EntrySettings{}, err
	}
	checks := []func(parser.Lines, entryDraft) error{checkAddresses, checkDataCentres, checkPeers, checkTimes, checkTokens}
	for _, check := range checks {
		if err := check(lines, draft); err != nil {
			return EntrySettings{}, err
		}
	}
	config := draft.EntrySettingsConfig
	for _, peer := range draft.peers {
		config.Peers = append(config.Peers, NewPeerSettings(peer.PeerSettingsConfig))
	}
	for _, group := range draft.groups() {
		for _, token := range group.tokens {
			config.Tokens = append(config.Tokens, token.token(group.role))
		}
	}
	return NewEntrySettings(config), nil
}

// tokenGroup is the tokens of one role.
type tokenGroup struct {
	role   almondcross.Role
	tokens []tokenDraft
}

func (entrydraft entryDraft) groups() []tokenGroup {
	return []tokenGroup{
		{almondcross.RoleOperator, entrydraft.operators},
		{almondcross.RoleReporter, entrydraft.reporters},
		{almondcross.RoleCaller, entrydraft.callers},
	}
}

func checkAddresses(lines parser.Lines, draft entryDraft) error {
	if draft.Listen == draft.PeerListen {
		return lines.Conflict("peer_listen", strconv.Quote(draft.PeerListen), "an address other than that of listen")
	}
	if draft.Advertise == draft.PeerAdvertise {
		return lines.Conflict("peer_advertise", strconv.Quote(draft.PeerAdvertise), "an address other than that of advertise")
	}
	return nil
}

func checkDataCentres(lines parser.Lines, draft entryDraft) error {
	if !slices.Contains(draft.DataCentres, draft.DataCentre) {
		return lines.Conflict("data_centre", strconv.Quote(draft.DataCentre), oneOf(draft.DataCentres))
	}
	return nil
}

func oneOf(names []string) string { return "one of data_centres: " + strings.Join(names, ", ") }

func checkPeers(_ parser.Lines, draft entryDraft) error {
	names := map[string]bool{draft.Name: true}
	addresses := map[string]bool{draft.PeerAdvertise: true}
	for _, peer := range draft.peers {
		if names[peer.Name] {
			return peer.lines.Conflict("name", strconv.Quote(peer.Name)+" a second time", "a name once, and never that of the host itself")
		}
		if addresses[peer.Address] {
			return peer.lines.Conflict("address", strconv.Quote(peer.Address)+" a second time", "an address once, and never peer_advertise")
		}
		if !slices.Contains(draft.DataCentres, peer.DataCentre) {
			return peer.lines.Conflict("data_centre", strconv.Quote(peer.DataCentre), oneOf(draft.DataCentres))
		}
		names[peer.Name], addresses[peer.Address] = true, true
	}
	return nil
}

func checkTimes(lines parser.Lines, draft entryDraft) error {
	if draft.RequestTimeout > draft.RequestTimeoutMax {
		return lines.Conflict("request_timeout", strconv.Quote(parser.FormatDuration(draft.RequestTimeout)),
			"at most request_timeout_max, "+parser.FormatDuration(draft.RequestTimeoutMax))
	}
	return nil
}

func checkTokens(_ parser.Lines, draft entryDraft) error {
	var earlier []Token
	for _, group := range draft.groups() {
		names := map[string]bool{}
		for _, draft := range group.tokens {
			token := draft.token(group.role)
			if names[token.Name()] {
				return draft.lines.Conflict("name", strconv.Quote(token.Name())+" a second time", "a name once in the list")
			}
			names[token.Name()] = true
			if index := slices.IndexFunc(earlier, token.SameSecret); index >= 0 {
				return draft.lines.Conflict("token", "the token of "+earlier[index].Name(), "a token of its own for each bearer")
			}
			earlier = append(earlier, token)
		}
	}
	return nil
}
