package catalog

import "mustardsaddle.example/mustardsaddle"

// Order is the result of comparing an update with the position known locally.
type Order int

const (
	// Outdated means that the update contains nothing new.
	Outdated Order = iota
	// Applicable means that the update can be applied.
	Applicable
	// Gap means that changes between the known position and the update are missing.
	Gap
)

// Compare compares an update with the position known locally. Changes within an era apply
// to any position of this era from the one that they continue from. Changes that lead to a
// newer era apply only to exactly the position that they continue from, because revisions
// of two eras have no order.
func Compare(known mustardsaddle.Position, u mustardsaddle.Update) Order {
	switch {
	case !known.Before(u.Position):
		return Outdated
	case u.Whole:
		return Applicable
	case known.IsZero():
		return Gap
	case known == u.After:
		return Applicable
	case u.After.Era != u.Position.Era, known.Era != u.After.Era:
		return Gap
	case known.Revision < u.After.Revision:
		return Gap
	default:
		return Applicable
	}
}
