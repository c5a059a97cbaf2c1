package external

// eraShift is the position of the era in an extended revision. It leaves room for 10^12 revisions
// of one era.
const eraShift = 40

// ExtendByEra returns a revision of a key-value service extended by the era of the
// service, so that those of a later era are greater and none is issued twice; 0 stays 0. ok is
// false if the values do not fit.
func ExtendByEra(era, revision int64) (extended int64, ok bool) {
	if revision == 0 {
		return 0, true
	}
	fits := era >= 0 && era < 1<<(63-eraShift) && revision > 0 && revision < 1<<eraShift
	return era<<eraShift | revision, fits
}

// SplitEra returns the era and the revision of an extended one.
func SplitEra(extended int64) (era, revision int64) {
	return extended >> eraShift, extended & (1<<eraShift - 1)
}
