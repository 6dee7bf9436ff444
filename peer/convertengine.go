package peer

import (
	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/evacuation"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer/peerpb"
	"lynxwell.dev/lynxwell/quarantine"
	"lynxwell.dev/lynxwell/reservation"
)

// digestFromWire returns the zero digest for data of another length: a host that sends such
// data uses a kind of digest that this version doesn't know.
func digestFromWire(raw []byte) call.Digest {
	var dig call.Digest
	if len(raw) == len(dig) {
		copy(dig[:], raw)
	}
	return dig
}

func subjectToWire(sub quarantine.Subject) *peerpb.Subject {
	return &peerpb.Subject{Digest: sub.Digest[:], Service: sub.Service, Account: sub.Account, Route: sub.Route, Part: sub.Part}
}

func subjectFromWire(wsu *peerpb.Subject) quarantine.Subject {
	return quarantine.Subject{Digest: digestFromWire(wsu.GetDigest()), Service: wsu.GetService(), Account: wsu.GetAccount(), Route: wsu.GetRoute(), Part: wsu.GetPart()}
}

// The wire numbers of engine signals.
const (
	signalDraining uint32 = iota + 1
	signalReplaced
	signalBackoff
	signalRateLimit
	signalUnlimited
	signalCold
	signalBrittle
)

func noticeToWire(msg reservation.EngineNotice) *peerpb.EngineNotice {
	wno := &peerpb.EngineNotice{Engine: msg.Run.String()}
	switch sig := msg.Signal.(type) {
	case fleet.Draining:
		wno.Word = signalDraining
	case fleet.Replaced:
		wno.Word = signalReplaced
	case fleet.Backoff:
		wno.Word, wno.LeftUs = signalBackoff, sig.Remaining.Microseconds()
	case fleet.RateLimit:
		wno.Word, wno.PerSecond = signalRateLimit, sig.PerSecond
	case fleet.Unlimited:
		wno.Word = signalUnlimited
	case fleet.Cold:
		wno.Word, wno.LeftUs = signalCold, sig.Remaining.Microseconds()
	case fleet.Brittle:
		wno.Word, wno.PerSecond = signalBrittle, float64(sig.Limit)
	}
	return wno
}

// noticeFromWire returns a notice without a signal for a number that this version
// doesn't know.
func noticeFromWire(wno *peerpb.EngineNotice) reservation.EngineNotice {
	not := fleet.Notice{Run: fleet.ParseEngineID(wno.GetEngine())}
	switch wno.GetWord() {
	case signalDraining:
		not.Signal = fleet.Draining{}
	case signalReplaced:
		not.Signal = fleet.Replaced{}
	case signalBackoff:
		not.Signal = fleet.Backoff{Remaining: fromMicros(wno.GetLeftUs())}
	case signalRateLimit:
		not.Signal = fleet.RateLimit{PerSecond: wno.GetPerSecond()}
	case signalUnlimited:
		not.Signal = fleet.Unlimited{}
	case signalCold:
		not.Signal = fleet.Cold{Remaining: fromMicros(wno.GetLeftUs())}
	case signalBrittle:
		not.Signal = fleet.Brittle{Limit: int(wno.GetPerSecond())}
	}
	return reservation.EngineNotice{Notice: not}
}

func enforcedOrdersToWire(msg reservation.EnforcedOrders) *peerpb.Emptying {
	weo := &peerpb.Emptying{}
	for _, ord := range msg.Orders {
		weo.Orders = append(weo.Orders, &peerpb.Emptying_Order{Domain: ord.Domain, Revision: ord.Revision})
	}
	return weo
}

func enforcedOrdersFromWire(weo *peerpb.Emptying) reservation.EnforcedOrders {
	var msg reservation.EnforcedOrders
	for _, ord := range weo.GetOrders() {
		msg.Orders = append(msg.Orders, evacuation.Order{Domain: ord.GetDomain(), Revision: ord.GetRevision()})
	}
	return msg
}

// The wire numbers of the states of a check.
const (
	checkRunning uint32 = iota + 1
	checkAlive
)

func checkToWire(che quarantine.Check) uint32 {
	switch che {
	case quarantine.CheckRunning:
		return checkRunning
	case quarantine.CheckAlive:
		return checkAlive
	case quarantine.CheckNone:
		return 0
	default:
		return 0
	}
}

// checkFromWire returns CheckNone for a number that this version doesn't know.
func checkFromWire(number uint32) quarantine.Check {
	switch number {
	case checkRunning:
		return quarantine.CheckRunning
	case checkAlive:
		return quarantine.CheckAlive
	default:
		return quarantine.CheckNone
	}
}

func crashToWire(msg reservation.EngineCrashed) *peerpb.EngineEnded {
	return &peerpb.EngineEnded{
		Id: idToWire(msg.ID), Subject: subjectToWire(msg.Subject), Engine: msg.Engine, Uncertain: msg.Unconfirmed, Alone: msg.Exclusive, Check: checkToWire(msg.Check),
	}
}

func crashFromWire(wcr *peerpb.EngineEnded) reservation.EngineCrashed {
	return reservation.EngineCrashed{
		ID: idFromWire(wcr.GetId()), Unconfirmed: wcr.GetUncertain(),
		Observation: quarantine.Observation{Subject: subjectFromWire(wcr.GetSubject()), Engine: wcr.GetEngine(), Exclusive: wcr.GetAlone(), Check: checkFromWire(wcr.GetCheck())},
	}
}

func caseReportToWire(rep quarantine.Report) *peerpb.CaseReport {
	wre := &peerpb.CaseReport{
		Subject: subjectToWire(rep.Subject), Held: rep.Held, ForGood: rep.Indefinite, LeftUs: rep.Remaining.Microseconds(),
		Trials: uint32(rep.Trials), Cleared: rep.Cleared,
	}
	for _, cra := range rep.Crashes {
		wre.Ends = append(wre.Ends, &peerpb.CaseReport_End{Engine: cra.Engine, Alone: cra.Alone, Again: uint32(cra.Again)})
	}
	return wre
}

func caseReportFromWire(wre *peerpb.CaseReport) quarantine.Report {
	rep := quarantine.Report{
		Subject: subjectFromWire(wre.GetSubject()), Held: wre.GetHeld(), Indefinite: wre.GetForGood(), Remaining: fromMicros(wre.GetLeftUs()),
		Trials: int(wre.GetTrials()), Cleared: wre.GetCleared(),
	}
	for _, wcr := range wre.GetEnds() {
		rep.Crashes = append(rep.Crashes, quarantine.Crash{Engine: wcr.GetEngine(), Alone: wcr.GetAlone(), Again: int(wcr.GetAgain())})
	}
	return rep
}
