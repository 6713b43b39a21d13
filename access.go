package almondcross

import (
	"crypto/sha256"
	"crypto/subtle"
)

// Role determines what the bearer of a token may do.
type Role string

// The roles of bearers.
const (
	RoleOperator Role = "operator" // RoleOperator may change the catalogue and read everything except requests.
	RoleReporter Role = "reporter" // RoleReporter may read everything except requests.
	RoleCaller   Role = "caller"   // RoleCaller may send requests and read its own.
)

// TokenConfig holds the fields of a new Token.
type TokenConfig struct {
	Name   string // Name is the name of the bearer.
	Role   Role
	Secret string
}

// Token verifies the secret of one bearer. It stores only a digest, so that printing a token
// or a value that contains one does not reveal the secret.
type Token struct {
	name   string
	role   Role
	digest [sha256.Size]byte
}

// NewToken returns a token for a secret.
func NewToken(config TokenConfig) Token {
	return Token{name: config.Name, role: config.Role, digest: sha256.Sum256([]byte(config.Secret))}
}

// Name returns the name of the bearer.
func (token Token) Name() string { return token.name }

// Role returns what the bearer may do.
func (token Token) Role() Role { return token.role }

// SameSecret reports whether two tokens have the same secret.
func (token Token) SameSecret(other Token) bool { return token.digest == other.digest }

// FindToken returns the token with the given secret and reports whether there is one. It compares with every
// token in constant time, so that its duration reveals nothing about the secrets.
func FindToken(tokens []Token, secret string) (Token, bool) {
	digest := sha256.Sum256([]byte(secret))
	found, index := 0, 0
	for position := range tokens {
		equal := subtle.ConstantTimeCompare(tokens[position].digest[:], digest[:])
		index = subtle.ConstantTimeSelect(equal, position, index)
		found |= equal
	}
	if found == 0 {
		return Token{}, false
	}
	return tokens[index], true
}
