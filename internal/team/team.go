// Package team identifies the teams of a configuration by the API keys of their requests.
// Only keyed digests of the keys are stored, so that neither a log nor a copy of the state
// reveals a key.
package team

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"fennelyard/internal/schema"
)

// saltBytes is the length of the secret for digests.
const saltBytes = 16

// digest is the keyed digest of an API key.
type digest [sha256.Size]byte

// NewSalt returns a random secret for Digest.
func NewSalt() []byte {
	salt := make([]byte, saltBytes)
	// rand.Read never returns an error.
	_, _ = rand.Read(salt)
	return salt
}

// Digest returns the digest of an API key under a salt.
func Digest(salt []byte, key string) []byte {
	mac := hmac.New(sha256.New, salt)
	mac.Write([]byte(key))
	return mac.Sum(nil)
}

// Directory looks up teams by their API keys. It is immutable; the zero value has no teams.
type Directory struct {
	salt []byte
	// byKey maps a digest to its one team: a configuration in which teams share a key is
	// invalid.
	byKey map[digest]*schema.Team
	teams int
}

// NewDirectory returns the directory of teams whose digests were made with a salt.
func NewDirectory(salt []byte, teams []*schema.Team) *Directory {
	d := &Directory{salt: salt, byKey: map[digest]*schema.Team{}, teams: len(teams)}
	for _, t := range teams {
		for _, k := range t.GetKeyDigests() {
			d.byKey[digest(k)] = t
		}
	}
	return d
}

// Empty reports whether there are no teams, in which case requests need no key.
func (d *Directory) Empty() bool { return d.teams == 0 }

// Find returns the team with an API key, or nil. It looks up the key's digest, so that its
// duration reveals nothing about the keys.
func (d *Directory) Find(key string) *schema.Team {
	if key == "" || len(d.byKey) == 0 {
		return nil
	}
	return d.byKey[digest(Digest(d.salt, key))]
}
