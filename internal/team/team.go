// Package team knows the teams of a configuration by the API keys of their requests. Only
// keyed digests of the keys are held, so that neither a log nor a copy of the state gives
// one away.
package team

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"fennelyard/internal/schema"
)

// saltBytes is the size of the secret under which digests are made.
const saltBytes = 16

// digest is the keyed digest of an API key.
type digest [sha256.Size]byte

// NewSalt returns a secret for Digest.
func NewSalt() []byte {
	salt := make([]byte, saltBytes)
	// It never fails: see crypto/rand.
	_, _ = rand.Read(salt)
	return salt
}

// Digest returns the keyed digest of an API key.
func Digest(salt []byte, key string) []byte {
	mac := hmac.New(sha256.New, salt)
	mac.Write([]byte(key))
	return mac.Sum(nil)
}

// Directory finds teams by their API keys. It is never changed; the zero value has no
// teams.
type Directory struct {
	salt []byte
	// byKey holds no two teams under one digest: configurations with a shared key are
	// invalid.
	byKey map[digest]*schema.Team
	teams int
}

// NewDirectory returns the directory of some teams, whose digests were made with a salt.
func NewDirectory(salt []byte, teams []*schema.Team) *Directory {
	d := &Directory{salt: salt, byKey: map[digest]*schema.Team{}, teams: len(teams)}
	for _, t := range teams {
		for _, k := range t.GetKeyDigests() {
			d.byKey[digest(k)] = t
		}
	}
	return d
}

// Empty reports whether there are no teams, so that requests need no key.
func (d *Directory) Empty() bool { return d.teams == 0 }

// Find returns the team that holds an API key, or nil. The search is by digest, so that its
// duration tells nothing about the keys.
func (d *Directory) Find(key string) *schema.Team {
	if key == "" || len(d.byKey) == 0 {
		return nil
	}
	return d.byKey[digest(Digest(d.salt, key))]
}
