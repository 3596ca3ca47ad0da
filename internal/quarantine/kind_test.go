package quarantine_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/quarantine"
	"fennelyard/internal/relay"
	"fennelyard/internal/schema"
)

var (
	kindOne   = quarantine.KindOf("app", "v1")
	kindTwo   = quarantine.KindOf("app", "v2")
	kindThree = quarantine.KindOf("app", "v3")
)

func TestKindsDiffer(t *testing.T) {
	require.Equal(t, kindOne, quarantine.KindOf("app", "v1"))
	for _, other := range []quarantine.Kind{kindTwo, quarantine.KindOf("other", "v1"), quarantine.KindOf("appv", "1"), quarantine.AnyKind} {
		require.NotEqual(t, kindOne, other)
	}
}

// A completion at one kind of servers cleared what was found at another, and what crashes one kind was held
// back from all.
func TestHoldsAndClearingAreByKind(t *testing.T) {
	// evidence is a crash of a server, or a completion, at a kind.
	type evidence struct {
		crashed string
		kind    quarantine.Kind
	}
	crash := func(server string, kind quarantine.Kind) evidence { return evidence{server, kind} }
	completion := func(kind quarantine.Kind) evidence { return evidence{"", kind} }
	for name, tt := range map[string]struct {
		evidence []evidence
		// held are the kinds from which the request is held back.
		held map[quarantine.Kind]bool
	}{
		"three of one kind": {
			[]evidence{crash("a", kindOne), crash("b", kindOne), crash("c", kindOne)},
			map[quarantine.Kind]bool{kindOne: true},
		},
		"three of one kind, completions at another": {
			[]evidence{completion(kindTwo), crash("a", kindOne), completion(kindTwo), crash("b", kindOne), crash("c", kindOne), completion(kindTwo)},
			map[quarantine.Kind]bool{kindOne: true},
		},
		"three of one kind, a completion there": {
			[]evidence{crash("a", kindOne), crash("b", kindOne), crash("c", kindOne), completion(kindOne)},
			map[quarantine.Kind]bool{},
		},
		"three of two kinds": {
			[]evidence{crash("a", kindOne), crash("b", kindTwo), crash("c", kindOne)},
			map[quarantine.Kind]bool{kindOne: true, kindTwo: true},
		},
		"three of two kinds, a completion at one": {
			[]evidence{crash("a", kindOne), crash("b", kindTwo), crash("c", kindOne), completion(kindTwo)},
			map[quarantine.Kind]bool{},
		},
		"one more of another kind": {
			[]evidence{crash("a", kindOne), crash("b", kindOne), crash("c", kindOne), crash("d", kindTwo)},
			map[quarantine.Kind]bool{kindOne: true, kindTwo: true},
		},
		"two": {
			[]evidence{crash("a", kindOne), crash("b", kindOne)},
			map[quarantine.Kind]bool{},
		},
		"three of unknown kinds": {
			[]evidence{crash("a", quarantine.AnyKind), crash("b", quarantine.AnyKind), crash("c", quarantine.AnyKind)},
			map[quarantine.Kind]bool{kindOne: true, kindTwo: true, kindThree: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := &clock{time.Unix(1e9, 0)}
			set, other := newSuspectSet(c), newSuspectSet(c)
			key := keyOf("/1")
			for _, e := range tt.evidence {
				c.current = c.current.Add(100 * time.Millisecond)
				if e.crashed == "" {
					set.ClearUntil(key, c.current, e.kind)
					continue
				}
				set.Accuse(e.crashed, c.current, []quarantine.Accusation{{Key: key, Kind: e.kind}})
			}
			records, _ := set.Since(0, quarantine.PartAll)
			other.Merge(records, quarantine.SourceEntry)
			for _, s := range []*quarantine.SuspectSet{set, other} {
				_, kinds, _ := s.HeldBackFrom(key)
				for _, kind := range []quarantine.Kind{kindOne, kindTwo, kindThree} {
					held := false
					for _, k := range kinds {
						held = held || k == kind || k == quarantine.AnyKind
					}
					require.Equal(t, tt.held[kind], held, "kind %d", kind)
				}
			}
		})
	}
}

// A request completes at the servers of one version all the time: the crashes of another version must count all
// the same, and its hold must not reach the first.
func TestRequestThatCompletesElsewhereIsAccused(t *testing.T) {
	for name, carriers := range map[string][]quarantine.Carrier{
		"request": nil,
		"part":    {{Scope: quarantine.ScopePart, Name: "bad", Depth: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := quarantine.NewGuard(quarantine.GuardConfig{
					Probe: func(context.Context, string) relay.Presence { return relay.PresenceRefused }, MayProbe: always, OnChange: func() {}, Log: logr.Discard(),
				})
				defer g.Close()
				for i := range 3 {
					target := "/1"
					if len(carriers) > 0 {
						target = string(rune('a' + i))
					}
					r := quarantine.NewKeyedRequest(quarantine.Request{Target: target}, carriers...)
					g.AttemptCompleted(r, kindTwo)
					g.AttemptFailed(r, quarantine.Server{ID: string(rune('a' + i)), Address: "a:1", Kind: kindOne})
					g.AttemptCompleted(r, kindTwo)
				}
				r := quarantine.NewKeyedRequest(quarantine.Request{Target: "/1"}, carriers...)
				synctest.Wait()
				left, held := g.Hold(r).At(kindOne)
				require.True(t, held)
				require.Positive(t, left)
				_, held = g.Hold(r).At(kindTwo)
				require.False(t, held)
				_, held = g.Hold(r).At(kindThree)
				require.False(t, held, "a new version")
				// Another entry's record of it must not be cleared by what has completed elsewhere.
				records, _ := g.Suspects().Since(0, quarantine.PartAll)
				g.Merge([]*schema.Suspect{records[0]}, quarantine.SourceEntry)
				_, held = g.Hold(r).At(kindOne)
				require.True(t, held)
			})
		})
	}
}

// Operators must see from which servers a suspect is held back, also those of which no server is known any more.
func TestListNamesTheKinds(t *testing.T) {
	c := &clock{time.Unix(1e9, 0)}
	var changes []quarantine.Source
	set := quarantine.NewSuspectSet(quarantine.SuspectSetConfig{
		Now: c.now, Log: logr.Discard(), OnChanged: func(s quarantine.Source) { changes = append(changes, s) },
		KindNames: func() map[quarantine.Kind]string {
			return map[quarantine.Kind]string{kindOne: quarantine.NameOf("app", "v1"), kindTwo: quarantine.NameOf("app", "v2")}
		},
	})
	for server, kind := range map[string]quarantine.Kind{"a": kindOne, "b": kindThree, "c": quarantine.AnyKind} {
		require.Empty(t, heldFrom(set))
		set.Accuse(server, c.current, []quarantine.Accusation{{Key: keyOf("/x"), Kind: kind}})
	}
	require.Equal(t, []string{"any", "app/v1", kindThree.String()}, heldFrom(set))
	require.Equal(t, []quarantine.Source{quarantine.SourceOwn, quarantine.SourceOwn, quarantine.SourceOwn}, changes)
	set.ClearUntil(keyOf("/x"), c.current, kindTwo)
	require.Empty(t, heldFrom(set), "what has no kind is cleared by any, and two are too few")
}

// heldFrom returns from which servers the first suspect of a set is held back.
func heldFrom(set *quarantine.SuspectSet) []string {
	for _, s := range set.List() {
		return s.GetHeldFrom()
	}
	return nil
}
