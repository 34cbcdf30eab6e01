package mustardsaddle

// Position identifies a state of a Directory. Within an era, higher revisions are newer.
// A Directory that was restored from an older copy of its data starts a new era, in which
// it assigns revisions of the previous era again. Revisions of different eras are
// therefore never compared. The zero value means that nothing is known.
type Position struct {
	// Era counts the restores of the directory; 0 if the directory does not state it.
	Era int64
	// Revision is the revision of the directory in this era.
	Revision int64
}

// IsZero reports whether p is the position of a collection of which nothing is known.
func (p Position) IsZero() bool {
	return p.Revision == 0
}

// Before reports whether p is older than q: it is of an older era, or has a lower
// revision of the same era.
func (p Position) Before(q Position) bool {
	if p.Era != q.Era {
		return p.Era < q.Era
	}
	return p.Revision < q.Revision
}

// WithEra returns a copy of p with the given era.
func (p Position) WithEra(era int64) Position {
	p.Era = era
	return p
}
