package peer

import (
	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/evacuation"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer/peerpb"
	"lynxwell.dev/lynxwell/quarantine"
	"lynxwell.dev/lynxwell/reservation"
)

// digestFromWire returns the zero digest for data of another length: a host that sends
// one uses a kind of digest that this version doesn't know.
func digestFromWire(raw []byte) call.Digest {
	var dig call.Digest
	if len(raw) == len(dig) {
		copy(dig[:], raw)
	}
	return dig
}

func subjectToWire(sub quarantine.Subject) *peerpb.Subject {
	return &peerpb.Subject{Digest: sub.Digest[:], Service: sub.Service, Account: sub.Account, Route: sub.Route}
}

func subjectFromWire(wsu *peerpb.Subject) quarantine.Subject {
	return quarantine.Subject{Digest: digestFromWire(wsu.GetDigest()), Service: wsu.GetService(), Account: wsu.GetAccount(), Route: wsu.GetRoute()}
}

// The wire numbers of engine signals.
const (
	signalDraining uint32 = iota + 1
	signalReplaced
	signalBackoff
	signalRateLimit
	signalUnlimited
	signalCold
)

func noticeToWire(msg reservation.EngineNotice) *peerpb.EngineNotice {
	wno := &peerpb.EngineNotice{Engine: msg.Run.String()}
	switch sig := msg.Word.(type) {
	case fleet.Leaving:
		wno.Word = signalDraining
	case fleet.Replaced:
		wno.Word = signalReplaced
	case fleet.Pause:
		wno.Word, wno.LeftUs = signalBackoff, sig.Left.Microseconds()
	case fleet.RateLimit:
		wno.Word, wno.PerSecond = signalRateLimit, sig.PerSecond
	case fleet.Unlimited:
		wno.Word = signalUnlimited
	case fleet.Cold:
		wno.Word, wno.LeftUs = signalCold, sig.Left.Microseconds()
	}
	return wno
}

// noticeFromWire returns a notice without a signal for a number that this version
// doesn't know.
func noticeFromWire(wno *peerpb.EngineNotice) reservation.EngineNotice {
	not := fleet.Notice{Run: fleet.ParseEngineID(wno.GetEngine())}
	switch wno.GetWord() {
	case signalDraining:
		not.Word = fleet.Leaving{}
	case signalReplaced:
		not.Word = fleet.Replaced{}
	case signalBackoff:
		not.Word = fleet.Pause{Left: fromMicros(wno.GetLeftUs())}
	case signalRateLimit:
		not.Word = fleet.RateLimit{PerSecond: wno.GetPerSecond()}
	case signalUnlimited:
		not.Word = fleet.Unlimited{}
	case signalCold:
		not.Word = fleet.Cold{Left: fromMicros(wno.GetLeftUs())}
	}
	return reservation.EngineNotice{Notice: not}
}

func enforcedOrdersToWire(msg reservation.Emptying) *peerpb.Emptying {
	weo := &peerpb.Emptying{}
	for _, ord := range msg.Orders {
		weo.Orders = append(weo.Orders, &peerpb.Emptying_Order{Domain: ord.Domain, Revision: ord.Revision})
	}
	return weo
}

func enforcedOrdersFromWire(weo *peerpb.Emptying) reservation.Emptying {
	var msg reservation.Emptying
	for _, ord := range weo.GetOrders() {
		msg.Orders = append(msg.Orders, evacuation.Order{Domain: ord.GetDomain(), Revision: ord.GetRevision()})
	}
	return msg
}

func crashToWire(msg reservation.EngineEnded) *peerpb.EngineEnded {
	return &peerpb.EngineEnded{
		Id: idToWire(msg.ID), Subject: subjectToWire(msg.Subject), Engine: msg.Engine, Uncertain: msg.Uncertain, Alone: msg.Alone, RanUs: msg.Ran.Microseconds(),
	}
}

func crashFromWire(wcr *peerpb.EngineEnded) reservation.EngineEnded {
	return reservation.EngineEnded{
		ID: idFromWire(wcr.GetId()), Uncertain: wcr.GetUncertain(),
		Observation: quarantine.Observation{Subject: subjectFromWire(wcr.GetSubject()), Engine: wcr.GetEngine(), Alone: wcr.GetAlone(), Ran: fromMicros(wcr.GetRanUs())},
	}
}

func caseReportToWire(rep quarantine.Report) *peerpb.CaseReport {
	wre := &peerpb.CaseReport{
		Subject: subjectToWire(rep.Subject), Held: rep.Held, ForGood: rep.ForGood, LeftUs: rep.Left.Microseconds(),
		Trials: uint32(rep.Trials), Cleared: rep.Cleared,
	}
	for _, cra := range rep.Ends {
		wre.Ends = append(wre.Ends, &peerpb.CaseReport_End{Engine: cra.Engine, Alone: cra.Alone, Again: uint32(cra.Again)})
	}
	return wre
}

func caseReportFromWire(wre *peerpb.CaseReport) quarantine.Report {
	rep := quarantine.Report{
		Subject: subjectFromWire(wre.GetSubject()), Held: wre.GetHeld(), ForGood: wre.GetForGood(), Left: fromMicros(wre.GetLeftUs()),
		Trials: int(wre.GetTrials()), Cleared: wre.GetCleared(),
	}
	for _, wcr := range wre.GetEnds() {
		rep.Ends = append(rep.Ends, quarantine.End{Engine: wcr.GetEngine(), Alone: wcr.GetAlone(), Again: int(wcr.GetAgain())})
	}
	return rep
}
