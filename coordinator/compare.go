package coordinator

import (
	"cmp"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

func compareIDs(one, two request.ID) int {
	return cmp.Or(
		cmp.Compare(one.View, two.View),
		cmp.Compare(one.Epoch, two.Epoch),
		cmp.Compare(one.Window, two.Window),
		cmp.Compare(one.Unique, two.Unique),
	)
}

func compareAttestationKeys(one, two reservation.AttestationKey) int {
	return cmp.Or(cmp.Compare(one.Lost, two.Lost), cmp.Compare(one.Holder, two.Holder))
}
