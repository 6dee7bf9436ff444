package peer

import (
	"math"

	"lynxwell.dev/lynxwell/limitshare"
	"lynxwell.dev/lynxwell/peer/peerpb"
	"lynxwell.dev/lynxwell/reservation"
)

func shareLoanToWire(msg reservation.ShareLoan) *peerpb.ShareLoan {
	wsl := &peerpb.ShareLoan{StampUs: msg.Stamp.Microseconds(), TermUs: msg.Term.Microseconds(), Share: uint32(max(0, msg.Share)), Renewal: msg.Renewal, Generation: msg.Generation}
	if !msg.Renewal {
		wsl.Content = shareContentToWire(msg.Content)
	}
	return wsl
}

// shareLoanFromWire decodes a loan, of the whole at most.
func shareLoanFromWire(wsl *peerpb.ShareLoan) reservation.ShareLoan {
	return reservation.ShareLoan{Stamp: fromMicros(wsl.GetStampUs()), Term: fromMicros(wsl.GetTermUs()), Loan: limitshare.Loan{
		Share: limitshare.Share(min(wsl.GetShare(), uint32(limitshare.Whole))), Renewal: wsl.GetRenewal(), Generation: wsl.GetGeneration(), Content: shareContentFromWire(wsl.GetContent()),
	}}
}

func shareContentToWire(con limitshare.Content) *peerpb.ShareContent {
	wsc := &peerpb.ShareContent{Others: con.Others, Retries: con.Retries}
	for _, acc := range con.Accounts {
		wsc.Accounts = append(wsc.Accounts, &peerpb.ShareContent_Account{Account: acc.Account, Left: acc.Left})
	}
	return wsc
}

func shareContentFromWire(wsc *peerpb.ShareContent) limitshare.Content {
	con := limitshare.Content{Others: fractionFromWire(wsc.GetOthers()), Retries: fractionFromWire(wsc.GetRetries())}
	for _, acc := range wsc.GetAccounts() {
		con.Accounts = append(con.Accounts, limitshare.AccountContent{Account: acc.GetAccount(), Left: fractionFromWire(acc.GetLeft())})
	}
	return con
}

// fractionFromWire returns a fraction of at most 1; nothing for one that isn't a number.
func fractionFromWire(fraction float64) float64 {
	if math.IsNaN(fraction) || math.IsInf(fraction, 0) {
		return 0
	}
	return min(1, fraction)
}
