package peer

import (
	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/evacuation"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer/peerpb"
	"lynxwell.dev/lynxwell/quarantine"
	"lynxwell.dev/lynxwell/reservation"
)

// digestFromWire returns none for what isn't a digest: a host that sends another length
// speaks of something that this one doesn't know.
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

// The numbers of engines' words.
const (
	wordLeaving uint32 = iota + 1
	wordReplaced
	wordPause
	wordRateLimit
	wordUnlimited
	wordCold
)

func noticeToWire(msg reservation.EngineNotice) *peerpb.EngineNotice {
	wno := &peerpb.EngineNotice{Engine: msg.Run.String()}
	switch wrd := msg.Word.(type) {
	case fleet.Leaving:
		wno.Word = wordLeaving
	case fleet.Replaced:
		wno.Word = wordReplaced
	case fleet.Pause:
		wno.Word, wno.LeftUs = wordPause, wrd.Left.Microseconds()
	case fleet.RateLimit:
		wno.Word, wno.PerSecond = wordRateLimit, wrd.PerSecond
	case fleet.Unlimited:
		wno.Word = wordUnlimited
	case fleet.Cold:
		wno.Word, wno.LeftUs = wordCold, wrd.Left.Microseconds()
	}
	return wno
}

// noticeFromWire returns no word for one that this program doesn't know.
func noticeFromWire(wno *peerpb.EngineNotice) reservation.EngineNotice {
	not := fleet.Notice{Run: fleet.ParseEngineID(wno.GetEngine())}
	switch wno.GetWord() {
	case wordLeaving:
		not.Word = fleet.Leaving{}
	case wordReplaced:
		not.Word = fleet.Replaced{}
	case wordPause:
		not.Word = fleet.Pause{Left: fromMicros(wno.GetLeftUs())}
	case wordRateLimit:
		not.Word = fleet.RateLimit{PerSecond: wno.GetPerSecond()}
	case wordUnlimited:
		not.Word = fleet.Unlimited{}
	case wordCold:
		not.Word = fleet.Cold{Left: fromMicros(wno.GetLeftUs())}
	}
	return reservation.EngineNotice{Notice: not}
}

func emptyingToWire(msg reservation.Emptying) *peerpb.Emptying {
	wem := &peerpb.Emptying{}
	for _, ord := range msg.Orders {
		wem.Orders = append(wem.Orders, &peerpb.Emptying_Order{Domain: ord.Domain, Revision: ord.Revision})
	}
	return wem
}

func emptyingFromWire(wem *peerpb.Emptying) reservation.Emptying {
	var msg reservation.Emptying
	for _, ord := range wem.GetOrders() {
		msg.Orders = append(msg.Orders, evacuation.Order{Domain: ord.GetDomain(), Revision: ord.GetRevision()})
	}
	return msg
}

func endedToWire(msg reservation.EngineEnded) *peerpb.EngineEnded {
	return &peerpb.EngineEnded{
		Id: idToWire(msg.ID), Subject: subjectToWire(msg.Subject), Engine: msg.Engine, Uncertain: msg.Uncertain, Alone: msg.Alone, RanUs: msg.Ran.Microseconds(),
	}
}

func endedFromWire(wen *peerpb.EngineEnded) reservation.EngineEnded {
	return reservation.EngineEnded{
		ID: idFromWire(wen.GetId()), Uncertain: wen.GetUncertain(),
		Observation: quarantine.Observation{Subject: subjectFromWire(wen.GetSubject()), Engine: wen.GetEngine(), Alone: wen.GetAlone(), Ran: fromMicros(wen.GetRanUs())},
	}
}

func reportToWire(rep quarantine.Report) *peerpb.CaseReport {
	wre := &peerpb.CaseReport{
		Subject: subjectToWire(rep.Subject), Held: rep.Held, ForGood: rep.ForGood, LeftUs: rep.Left.Microseconds(),
		Trials: uint32(rep.Trials), Cleared: rep.Cleared,
	}
	for _, end := range rep.Ends {
		wre.Ends = append(wre.Ends, &peerpb.CaseReport_End{Engine: end.Engine, Alone: end.Alone, Again: uint32(end.Again)})
	}
	return wre
}

func reportFromWire(wre *peerpb.CaseReport) quarantine.Report {
	rep := quarantine.Report{
		Subject: subjectFromWire(wre.GetSubject()), Held: wre.GetHeld(), ForGood: wre.GetForGood(), Left: fromMicros(wre.GetLeftUs()),
		Trials: int(wre.GetTrials()), Cleared: wre.GetCleared(),
	}
	for _, wen := range wre.GetEnds() {
		rep.Ends = append(rep.Ends, quarantine.End{Engine: wen.GetEngine(), Alone: wen.GetAlone(), Again: int(wen.GetAgain())})
	}
	return rep
}
