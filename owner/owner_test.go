package owner_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/owner"
)

// TestTopAgreesWithRank checks that Top, Pick and InTopN choose the same members.
func TestTopAgreesWithRank(t *testing.T) {
	var members []string
	for i := range 9 {
		for key := range 20 {
			k := fmt.Sprint("key", key)
			top := owner.Top(k, 3, members)
			qt.Assert(t, top, qt.HasLen, min(3, len(members)))
			for rank, m := range top {
				qt.Assert(t, owner.Rank(k, m, members), qt.Equals, rank)
				qt.Assert(t, owner.InTopN(k, m, rank+1, members), qt.IsTrue)
			}
			first, second := owner.Pick(k, members)
			for rank, m := range []string{first, second} {
				if m != "" {
					qt.Assert(t, top[rank], qt.Equals, m)
				}
			}
		}
		members = append(members, fmt.Sprint("node", i))
	}
}
