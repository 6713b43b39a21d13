package almondcross

import (
	"crypto/sha256"
	"crypto/subtle"
)

// Role is what the bearer of a token may do.
type Role string

// The roles of bearers.
const (
	RoleOperator Role = "operator" // RoleOperator changes the catalogue and reads everything but requests.
	RoleReporter Role = "reporter" // RoleReporter reads everything but requests.
	RoleCaller   Role = "caller"   // RoleCaller sends requests and reads its own.
)

// TokenConfig holds the fields of a new Token.
type TokenConfig struct {
	Name   string // Name is the name of the bearer.
	Role   Role
	Secret string
}

// Token recognises the secret of one bearer. It keeps only a digest, so that printing a token
// or a value that holds one does not show the secret.
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

// SameSecret reports whether two tokens have one secret.
func (token Token) SameSecret(other Token) bool { return token.digest == other.digest }

// FindToken returns the token of a secret. It compares with every token in constant time, so
// that the time it takes tells nothing about the secrets.
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
