package configurator

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/parser"
)

// minTokenLength is the minimum length of a token. 16 random characters cannot be guessed over HTTP.
const minTokenLength = 16

// roleField is the role key, which every settings file has.
type roleField struct {
	Role Role
}

// rawToken is a decoded token with the line numbers of its keys.
type rawToken struct {
	Name   string
	Secret string
	lines  parser.Lines
}

func (rawtoken rawToken) token(role almondcross.Role) Token {
	return almondcross.NewToken(almondcross.TokenConfig{Name: rawtoken.Name, Role: role, Secret: rawtoken.Secret})
}

// rawPeer is a decoded peer with the line numbers of its keys.
type rawPeer struct {
	PeerSettingsConfig
	lines parser.Lines
}

func setTokenLines(lines parser.Lines, token *rawToken) error {
	token.lines = lines
	return nil
}

func setPeerLines(lines parser.Lines, peer *rawPeer) error {
	peer.lines = lines
	return nil
}

// rawEntrySettings are the decoded settings of an entry host before the checks that involve several keys.
type rawEntrySettings struct {
	roleField
	EntrySettingsConfig
	peers                         []rawPeer
	operators, reporters, callers []rawToken
}

var tokenFields = []parser.Field[rawToken]{
	parser.Name(parser.FieldSpec{Key: "name", Description: "the name of the bearer, which the audit trail and request keys contain"},
		func(token *rawToken) *string { return &token.Name }),
	parser.Secret(parser.FieldSpec{Key: "token", Description: "the secret that the bearer sends in the Authorization header"},
		minTokenLength, func(token *rawToken) *string { return &token.Secret }),
}

var peerFields = []parser.Field[rawPeer]{
	parser.Name(parser.FieldSpec{Key: "name", Description: "the name of the entry host"},
		func(peer *rawPeer) *string { return &peer.Name }),
	parser.Name(parser.FieldSpec{Key: "data_centre", Description: "the data centre of the entry host"},
		func(peer *rawPeer) *string { return &peer.DataCentre }),
	parser.Address(parser.FieldSpec{Key: "address", Description: "the IP address and port for connections from its peers"},
		false, func(peer *rawPeer) *string { return &peer.Address }),
}

var entryFields = []parser.Field[rawEntrySettings]{
	parser.Choice(parser.FieldSpec{Key: "role", Description: "the role of the process"},
		[]Role{RoleEntry}, func(settings *rawEntrySettings) *Role { return &settings.Role }),
	parser.Name(parser.FieldSpec{Key: "name", Description: "the name of the host, unique in the cell"},
		func(settings *rawEntrySettings) *string { return &settings.Name }),
	parser.Name(parser.FieldSpec{Key: "data_centre", Description: "the data centre of the host"},
		func(settings *rawEntrySettings) *string { return &settings.DataCentre }),
	parser.Name(parser.FieldSpec{Key: "region", Description: "the region of the data centre"},
		func(settings *rawEntrySettings) *string { return &settings.Region }),
	parser.Address(parser.FieldSpec{Key: "listen", Description: "the listen address for callers and operators"},
		true, func(settings *rawEntrySettings) *string { return &settings.Listen }),
	parser.Address(parser.FieldSpec{Key: "advertise", Description: "the address at which callers and operators reach the host"},
		false, func(settings *rawEntrySettings) *string { return &settings.Advertise }),
	parser.Address(parser.FieldSpec{Key: "peer_listen", Description: "the listen address for peers"},
		true, func(settings *rawEntrySettings) *string { return &settings.PeerListen }),
	parser.Address(parser.FieldSpec{Key: "peer_advertise", Description: "the address at which peers reach the host"},
		false, func(settings *rawEntrySettings) *string { return &settings.PeerAdvertise }),
	parser.Names(parser.FieldSpec{Key: "data_centres", Description: "all data centres of the cell"},
		1, func(settings *rawEntrySettings) *[]string { return &settings.DataCentres }),
	parser.Objects(parser.FieldSpec{Key: "peers", Default: "[]", Description: "the other entry hosts of the cell"},
		peerFields, setPeerLines, func(settings *rawEntrySettings) *[]rawPeer { return &settings.peers }),
	parser.Address(parser.FieldSpec{Key: "log_address", Description: "the address of the platform's log"},
		false, func(settings *rawEntrySettings) *string { return &settings.LogAddress }),
	parser.Address(parser.FieldSpec{Key: "live_list_address", Description: "the address of the platform's live list"},
		false, func(settings *rawEntrySettings) *string { return &settings.LiveListAddress }),
	parser.Objects(parser.FieldSpec{Key: "operators", Default: "[]", Description: "the tokens that may change the catalogue and read reports"},
		tokenFields, setTokenLines, func(settings *rawEntrySettings) *[]rawToken { return &settings.operators }),
	parser.Objects(parser.FieldSpec{Key: "reporters", Default: "[]", Description: "the tokens that may read reports and the catalogue"},
		tokenFields, setTokenLines, func(settings *rawEntrySettings) *[]rawToken { return &settings.reporters }),
	parser.Objects(parser.FieldSpec{Key: "callers", Default: "[]", Description: "the tokens that may send requests; the name is part of each request key"},
		tokenFields, setTokenLines, func(settings *rawEntrySettings) *[]rawToken { return &settings.callers }),
	parser.Duration(parser.FieldSpec{Key: "stop_grace", Default: `"20s"`, Description: "the time for which a graceful shutdown waits for requests in flight"},
		0, time.Hour, func(settings *rawEntrySettings) *time.Duration { return &settings.StopGrace }),
	parser.Duration(parser.FieldSpec{Key: "request_timeout", Default: `"30s"`, Description: "the timeout of a request whose caller sets none"},
		time.Millisecond, 24*time.Hour, func(settings *rawEntrySettings) *time.Duration { return &settings.RequestTimeout }),
	parser.Duration(parser.FieldSpec{Key: "request_timeout_max", Default: `"10m"`, Description: "the maximum timeout of a request"},
		time.Millisecond, 24*time.Hour, func(settings *rawEntrySettings) *time.Duration { return &settings.MaxRequestTimeout }),
	parser.Duration(parser.FieldSpec{Key: "change_timeout", Default: `"10s"`, Description: "the time that an operator waits for the outcome of a catalogue change"},
		100*time.Millisecond, 10*time.Minute, func(settings *rawEntrySettings) *time.Duration { return &settings.ChangeTimeout }),
	parser.Duration(parser.FieldSpec{Key: "query_timeout", Default: `"10s"`, Description: "the timeout of a query"},
		100*time.Millisecond, 10*time.Minute, func(settings *rawEntrySettings) *time.Duration { return &settings.QueryTimeout }),
	parser.Duration(parser.FieldSpec{Key: "log_timeout", Default: `"2s"`, Description: "the timeout of a call to the log"},
		10*time.Millisecond, time.Minute, func(settings *rawEntrySettings) *time.Duration { return &settings.LogTimeout }),
	parser.Duration(parser.FieldSpec{Key: "worker_timeout", Default: `"1s"`, Description: "the timeout of a call to a worker"},
		10*time.Millisecond, almondcross.HolderLease, func(settings *rawEntrySettings) *time.Duration { return &settings.WorkerTimeout }),
	parser.Duration(parser.FieldSpec{Key: "claim_horizon", Default: `"1488h"`, Description: "the age above which a key of a non-repeatable request is rejected; 62 days cover a monthly run and its repetition"},
		time.Hour, 1488*time.Hour, func(settings *rawEntrySettings) *time.Duration { return &settings.ClaimHorizon }),
	parser.Duration(parser.FieldSpec{Key: "account_interval", Default: `"10s"`, Description: "the interval of usage accounting"},
		time.Second, 10*time.Minute, func(settings *rawEntrySettings) *time.Duration { return &settings.AccountInterval }),
	parser.Choice(parser.FieldSpec{Key: "placement", Default: `"packed"`, Description: "the placement policy"},
		[]PlacementName{PlacementPacked, PlacementLeastLoaded}, func(settings *rawEntrySettings) *PlacementName { return &settings.Placement }),
	parser.Choice(parser.FieldSpec{Key: "share", Default: `"dominant"`, Description: "the share policy"},
		[]ShareName{ShareDominant}, func(settings *rawEntrySettings) *ShareName { return &settings.Share }),
	parser.Integer(parser.FieldSpec{Key: "memory_mb", Unit: "megabytes", Default: "512", Description: "the memory that the process may use; the limits on the bodies and the connections of clients follow from it"},
		32, 1<<20, func(settings *rawEntrySettings) *int { return &settings.MemoryMB }),
	parser.Integer(parser.FieldSpec{Key: "max_descriptors", Default: "0", Description: "the file descriptors that the process may open, 200 of them for files; 0 for the limit with which the process was started, otherwise at least 256"},
		0, 1<<24, func(settings *rawEntrySettings) *int { return &settings.MaxDescriptors }),
	parser.Choice(parser.FieldSpec{Key: "log_format", Default: `"text"`, Description: "the format of log lines"},
		[]LogFormat{LogText, LogJSON}, func(settings *rawEntrySettings) *LogFormat { return &settings.LogFormat }),
}

// ParseEntry decodes and validates the settings of an entry host.
func ParseEntry(file string, source []byte) (EntrySettings, error) {
	var settings rawEntrySettings
	lines, err := parseRaw(file, source, entryFields, &settings)
	if err != nil {
		return EntrySettings{}, err
	}
	checks := []func(parser.Lines, rawEntrySettings) error{checkAddresses, checkDataCentres, checkPeers, checkTimeouts, checkTokens}
	for _, check := range checks {
		if err := check(lines, settings); err != nil {
			return EntrySettings{}, err
		}
	}
	config := settings.EntrySettingsConfig
	for _, peer := range settings.peers {
		config.Peers = append(config.Peers, NewPeerSettings(peer.PeerSettingsConfig))
	}
	for _, group := range settings.tokenGroups() {
		for _, token := range group.tokens {
			config.Tokens = append(config.Tokens, token.token(group.role))
		}
	}
	return NewEntrySettings(config), nil
}

// tokenGroup holds the tokens of one role.
type tokenGroup struct {
	role   almondcross.Role
	tokens []rawToken
}

// tokenGroups returns the tokens by role.
func (rawentrysettings rawEntrySettings) tokenGroups() []tokenGroup {
	return []tokenGroup{
		{almondcross.RoleOperator, rawentrysettings.operators},
		{almondcross.RoleReporter, rawentrysettings.reporters},
		{almondcross.RoleCaller, rawentrysettings.callers},
	}
}

func checkAddresses(lines parser.Lines, settings rawEntrySettings) error {
	if settings.Listen == settings.PeerListen {
		return lines.Conflict("peer_listen", strconv.Quote(settings.PeerListen), "an address other than listen")
	}
	if settings.Advertise == settings.PeerAdvertise {
		return lines.Conflict("peer_advertise", strconv.Quote(settings.PeerAdvertise), "an address other than advertise")
	}
	return nil
}

func checkDataCentres(lines parser.Lines, settings rawEntrySettings) error {
	if !slices.Contains(settings.DataCentres, settings.DataCentre) {
		return lines.Conflict("data_centre", strconv.Quote(settings.DataCentre), allowedNames(settings.DataCentres))
	}
	return nil
}

func allowedNames(names []string) string { return "one of data_centres: " + strings.Join(names, ", ") }

func checkPeers(_ parser.Lines, settings rawEntrySettings) error {
	names := map[string]bool{settings.Name: true}
	addresses := map[string]bool{settings.PeerAdvertise: true}
	for _, peer := range settings.peers {
		if names[peer.Name] {
			return peer.lines.Conflict("name", strconv.Quote(peer.Name)+" more than once", "a unique name that is not the host's own")
		}
		if addresses[peer.Address] {
			return peer.lines.Conflict("address", strconv.Quote(peer.Address)+" more than once", "a unique address other than peer_advertise")
		}
		if !slices.Contains(settings.DataCentres, peer.DataCentre) {
			return peer.lines.Conflict("data_centre", strconv.Quote(peer.DataCentre), allowedNames(settings.DataCentres))
		}
		names[peer.Name], addresses[peer.Address] = true, true
	}
	return nil
}

func checkTimeouts(lines parser.Lines, settings rawEntrySettings) error {
	if settings.RequestTimeout > settings.MaxRequestTimeout {
		return lines.Conflict("request_timeout", strconv.Quote(parser.FormatDuration(settings.RequestTimeout)),
			"at most request_timeout_max, "+parser.FormatDuration(settings.MaxRequestTimeout))
	}
	return nil
}

func checkTokens(_ parser.Lines, settings rawEntrySettings) error {
	var seen []Token
	for _, group := range settings.tokenGroups() {
		names := map[string]bool{}
		for _, bearer := range group.tokens {
			token := bearer.token(group.role)
			if names[token.Name()] {
				return bearer.lines.Conflict("name", strconv.Quote(token.Name())+" more than once", "a unique name in the list")
			}
			names[token.Name()] = true
			if index := slices.IndexFunc(seen, token.SameSecret); index >= 0 {
				return bearer.lines.Conflict("token", "the token of "+seen[index].Name(), "a different token for each bearer")
			}
			seen = append(seen, token)
		}
	}
	return nil
}
