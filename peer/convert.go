package peer

import (
	"time"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/peer/peerpb"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

func idToWire(id request.ID) *peerpb.RequestID {
	return &peerpb.RequestID{View: id.View, Epoch: uint64(id.Epoch), Window: id.Window, Unique: id.Unique}
}

func idFromWire(wid *peerpb.RequestID) request.ID {
	pre := request.Prefix{View: wid.GetView(), Epoch: request.Epoch(wid.GetEpoch()), Window: wid.GetWindow()}
	return request.ID{Prefix: pre, Unique: wid.GetUnique()}
}

// ballotToWire returns nil for a ballot of round 0. The holder of such a ballot is the
// gateway that the request id names, so ballotFromWire restores the ballot from the id.
func ballotToWire(bal request.Ballot) *peerpb.Ballot {
	if bal.Round == 0 {
		return nil
	}
	return &peerpb.Ballot{Round: bal.Round, Holder: uint64(bal.Holder)}
}

func ballotFromWire(wba *peerpb.Ballot, wid *peerpb.RequestID) request.Ballot {
	if wba == nil {
		return request.Ballot{Holder: request.Epoch(wid.GetEpoch())}
	}
	return request.Ballot{Round: wba.GetRound(), Holder: request.Epoch(wba.GetHolder())}
}

func fromMicros(micros int64) time.Duration {
	return time.Duration(micros) * time.Microsecond
}

func epochsToWire(epochs []request.Epoch) []uint64 {
	raw := make([]uint64, len(epochs))
	for idx, epo := range epochs {
		raw[idx] = uint64(epo)
	}
	return raw
}

func epochsFromWire(raw []uint64) []request.Epoch {
	epochs := make([]request.Epoch, len(raw))
	for idx, val := range raw {
		epochs[idx] = request.Epoch(val)
	}
	return epochs
}

// toWire encodes the message and the load that is sent with it.
func toWire(out Outgoing) *peerpb.Envelope {
	env := &peerpb.Envelope{}
	switch msg := out.Message.(type) {
	case reservation.Reserve:
		env.Message = &peerpb.Envelope_Reserve{Reserve: reserveToWire(msg)}
	case reservation.Grant:
		env.Message = &peerpb.Envelope_Grant{Grant: &peerpb.Grant{
			Id: idToWire(msg.ID), Ballot: ballotToWire(msg.Ballot), Engine: msg.Engine, Rate: uint32(msg.Rate), Cold: msg.Cold,
			WaitedUs: msg.Waited.Microseconds(), WorkUs: msg.Work.Microseconds(), Version: msg.Version, Debt: msg.Debt,
		}}
	case reservation.Refuse:
		env.Message = &peerpb.Envelope_Refuse{Refuse: &peerpb.Refuse{
			Id: idToWire(msg.ID), Ballot: ballotToWire(msg.Ballot), Reason: uint32(msg.Reason),
			Holder: uint64(msg.Holder), RetryAfterUs: msg.RetryAfter.Microseconds(), FloorRank: int64(msg.FloorRank),
			WaitedUs: msg.Waited.Microseconds(), ValidUs: msg.ValidFor.Microseconds(), AnyAccount: msg.AnyAccount,
		}}
	case reservation.Withdraw:
		env.Message = &peerpb.Envelope_Withdraw{Withdraw: &peerpb.Withdraw{
			Id: idToWire(msg.ID), Ballot: ballotToWire(msg.Ballot), Close: msg.Close,
		}}
	case reservation.Release:
		env.Message = &peerpb.Envelope_Release{Release: releaseToWire(msg)}
	case reservation.Adopt:
		env.Message = &peerpb.Envelope_Adopt{Adopt: &peerpb.Adopt{
			Id: idToWire(msg.ID), Ballot: ballotToWire(msg.Ballot), Engine: msg.Engine,
			Service: msg.Service, Account: msg.Account, Cost: msg.Cost, Unread: msg.PendingPrefill, PromptTokens: uint32(msg.PromptTokens),
			Route: msg.Route, Digest: msg.Digest[:], Rank: int64(msg.Rank), Urgency: uint32(msg.Urgency), Client: msg.Client, WorkUs: msg.Work.Microseconds(),
			Stream: uint64(msg.Stream), StreamLifeUs: msg.StreamLife.Microseconds(), Parts: partsToWire(msg.Parts),
		}}
	case reservation.ShareRequest:
		env.Message = &peerpb.Envelope_ShareRequest{ShareRequest: &peerpb.ShareRequest{StampUs: msg.Stamp.Microseconds(), TermUs: msg.Term.Microseconds()}}
	case reservation.ShareLoan:
		env.Message = &peerpb.Envelope_ShareLoan{ShareLoan: shareLoanToWire(msg)}
	case reservation.ShareReturned:
		env.Message = &peerpb.Envelope_ShareReturned{ShareReturned: &peerpb.ShareReturned{Generation: msg.Generation, Content: shareContentToWire(msg.Content)}}
	case reservation.Delegation:
		env.Message = &peerpb.Envelope_Appoint{Appoint: &peerpb.Appoint{Decides: msg.Delegated}}
	case reservation.UnreachableHosts:
		env.Message = &peerpb.Envelope_Absent{Absent: &peerpb.Absent{Hosts: epochsToWire(msg.Hosts)}}
	case reservation.Leader:
		env.Message = &peerpb.Envelope_Leader{Leader: &peerpb.Leader{Host: uint64(msg.Host), Deposed: uint64(msg.Deposed)}}
	case reservation.Resignation:
		env.Message = &peerpb.Envelope_Resignation{Resignation: &peerpb.Resignation{}}
	case reservation.CoordinatorSlow:
		env.Message = &peerpb.Envelope_CoordinatorSlow{CoordinatorSlow: &peerpb.CoordinatorSlow{Host: uint64(msg.Host), Slow: msg.Slow}}
	case reservation.EngineCrashed:
		env.Message = &peerpb.Envelope_EngineEnded{EngineEnded: crashToWire(msg)}
	case reservation.CaseReport:
		env.Message = &peerpb.Envelope_CaseReport{CaseReport: caseReportToWire(msg.Report)}
	case reservation.VersionsKnown:
		env.Message = &peerpb.Envelope_VersionsKnown{VersionsKnown: &peerpb.VersionsKnown{Number: msg.Number}}
	case reservation.StreamsBegan:
		env.Message = &peerpb.Envelope_StreamsBegan{StreamsBegan: streamsToWire(msg)}
	case reservation.EngineNotice:
		env.Message = &peerpb.Envelope_EngineNotice{EngineNotice: noticeToWire(msg)}
	case reservation.EnforcedOrders:
		env.Message = &peerpb.Envelope_Emptying{Emptying: enforcedOrdersToWire(msg)}
	case reservation.Progress:
		env.Message = &peerpb.Envelope_Progress{Progress: &peerpb.Progress{
			Id: idToWire(msg.ID), FirstTokenUs: msg.FirstToken.Microseconds(),
		}}
	case reservation.HeldGrants:
		hol := &peerpb.Hold{}
		for _, id := range msg.IDs {
			hol.Ids = append(hol.Ids, idToWire(id))
		}
		env.Message = &peerpb.Envelope_Hold{Hold: hol}
	case reservation.Evict:
		env.Message = &peerpb.Envelope_Evict{Evict: &peerpb.Evict{
			Id: idToWire(msg.ID), Service: msg.Service, Rank: int64(msg.Rank),
		}}
	case reservation.Evicted:
		env.Message = &peerpb.Envelope_Evicted{Evicted: &peerpb.Evicted{
			Id: idToWire(msg.ID), Done: msg.Done, FloorRank: int64(msg.FloorRank),
		}}
	}
	if out.Load.Service != "" {
		env.Load = loadToWire(out.Load)
	}
	return env
}

func reserveToWire(msg reservation.Reserve) *peerpb.Reserve {
	return &peerpb.Reserve{
		Id: idToWire(msg.ID), Ballot: ballotToWire(msg.Ballot), Service: msg.Service,
		Tier: msg.Tier, Rank: int64(msg.Rank), Account: msg.Account, Weight: float32(msg.Weight),
		PromptTokens: uint32(msg.PromptTokens), MaxTokens: uint32(msg.MaxTokens),
		PrefixHash: msg.PrefixHash, PrefixTokens: uint32(msg.PrefixTokens),
		RemainingUs: msg.Remaining.Microseconds(), Overflow: msg.Overflow,
		Domain: msg.Domain, AimUs: msg.LatencyTarget.Microseconds(), AgeUs: msg.ClientWait.Microseconds(), Route: msg.Route, Repeatable: msg.Repeatable,
		Cost: msg.Cost, Attempt: uint32(msg.Attempt),
		Exclude: msg.Exclude, Parts: partsToWire(msg.Parts),
		Urgency: uint32(msg.Urgency), AnswerTokens: uint32(msg.AnswerTokens), Digest: msg.Digest[:], Again: msg.Requeued, Regions: msg.Regions,
		Client: msg.Client, WaitLimitUs: msg.WaitLimit.Microseconds(),
		Stream: uint64(msg.Stream), Resumed: msg.Resumed, OriginService: msg.Origin.Service, OriginVersion: msg.Origin.Version, StreamLifeUs: msg.StreamLife.Microseconds(),
	}
}

func streamsToWire(msg reservation.StreamsBegan) *peerpb.StreamsBegan {
	raw := make([]uint64, len(msg.Streams))
	for idx, str := range msg.Streams {
		raw[idx] = uint64(str)
	}
	return &peerpb.StreamsBegan{Service: msg.Service, Version: msg.Version, KeepUs: msg.KeepFor.Microseconds(), Streams: raw}
}

func streamsFromWire(wst *peerpb.StreamsBegan) reservation.StreamsBegan {
	streams := make([]affinity.Stream, len(wst.GetStreams()))
	for idx, raw := range wst.GetStreams() {
		streams[idx] = affinity.Stream(raw)
	}
	ori := affinity.Origin{Service: wst.GetService(), Version: wst.GetVersion()}
	return reservation.StreamsBegan{Batch: affinity.Batch{Origin: ori, KeepFor: fromMicros(wst.GetKeepUs()), Streams: streams}}
}

func partsToWire(parts []call.Part) []*peerpb.Part {
	var raw []*peerpb.Part
	for _, par := range parts {
		raw = append(raw, &peerpb.Part{Id: par.ID, Tokens: uint32(par.Tokens)})
	}
	return raw
}

func partsFromWire(raw []*peerpb.Part) []call.Part {
	var parts []call.Part
	for _, wpa := range raw {
		parts = append(parts, call.Part{ID: wpa.GetId(), Tokens: int(wpa.GetTokens())})
	}
	return parts
}

func releaseToWire(msg reservation.Release) *peerpb.Release {
	return &peerpb.Release{
		Id: idToWire(msg.ID), Ballot: ballotToWire(msg.Ballot), Engine: msg.Engine,
		Dispatched: msg.Dispatched, Failed: msg.Failed,
		PrefillTokens: uint32(msg.PrefillTokens), DecodeTokens: uint32(msg.DecodeTokens),
		FirstTokenUs: msg.FirstToken.Microseconds(), TotalUs: msg.Total.Microseconds(),
		Rejected: msg.Rejected, Answered: msg.Answered, BackedOff: msg.Throttled,
	}
}

func loadToWire(loa reservation.Load) *peerpb.Load {
	return &peerpb.Load{
		Service: loa.Service, FreeSlots: uint32(loa.FreeSlots),
		Waiting: uint32(loa.Waiting), DelayUs: loa.Delay.Microseconds(),
	}
}

// fromWire decodes the message and its load. The message is nil for a kind that
// this version doesn't know.
func fromWire(env *peerpb.Envelope) (reservation.Message, reservation.Load) {
	return messageFromWire(env), loadFromWire(env.GetLoad())
}

func loadFromWire(wlo *peerpb.Load) reservation.Load {
	return reservation.Load{
		Service: wlo.GetService(), FreeSlots: int(wlo.GetFreeSlots()),
		Waiting: int(wlo.GetWaiting()), Delay: fromMicros(wlo.GetDelayUs()),
	}
}

func messageFromWire(env *peerpb.Envelope) reservation.Message {
	switch wms := env.GetMessage().(type) {
	case *peerpb.Envelope_Reserve:
		return reserveFromWire(wms.Reserve)
	case *peerpb.Envelope_Grant:
		return grantFromWire(wms.Grant)
	case *peerpb.Envelope_Refuse:
		return refuseFromWire(wms.Refuse)
	case *peerpb.Envelope_Withdraw:
		return reservation.Withdraw{ID: idFromWire(wms.Withdraw.GetId()), Ballot: ballotFromWire(wms.Withdraw.GetBallot(), wms.Withdraw.GetId()), Close: wms.Withdraw.GetClose()}
	case *peerpb.Envelope_Release:
		return releaseFromWire(wms.Release)
	case *peerpb.Envelope_Adopt:
		return adoptFromWire(wms.Adopt)
	case *peerpb.Envelope_ShareRequest:
		return reservation.ShareRequest{Stamp: fromMicros(wms.ShareRequest.GetStampUs()), Term: fromMicros(wms.ShareRequest.GetTermUs())}
	case *peerpb.Envelope_ShareLoan:
		return shareLoanFromWire(wms.ShareLoan)
	case *peerpb.Envelope_ShareReturned:
		return reservation.ShareReturned{Generation: wms.ShareReturned.GetGeneration(), Content: shareContentFromWire(wms.ShareReturned.GetContent())}
	case *peerpb.Envelope_Appoint:
		return reservation.Delegation{Delegated: wms.Appoint.GetDecides()}
	case *peerpb.Envelope_Absent:
		return reservation.UnreachableHosts{Hosts: epochsFromWire(wms.Absent.GetHosts())}
	case *peerpb.Envelope_Leader:
		return reservation.Leader{Host: request.Epoch(wms.Leader.GetHost()), Deposed: request.Epoch(wms.Leader.GetDeposed())}
	case *peerpb.Envelope_Resignation:
		return reservation.Resignation{}
	case *peerpb.Envelope_CoordinatorSlow:
		return reservation.CoordinatorSlow{Host: request.Epoch(wms.CoordinatorSlow.GetHost()), Slow: wms.CoordinatorSlow.GetSlow()}
	case *peerpb.Envelope_Progress:
		return reservation.Progress{ID: idFromWire(wms.Progress.GetId()), FirstToken: fromMicros(wms.Progress.GetFirstTokenUs())}
	case *peerpb.Envelope_Hold:
		return heldGrantsFromWire(wms.Hold)
	case *peerpb.Envelope_Evict:
		return reservation.Evict{ID: idFromWire(wms.Evict.GetId()), Service: wms.Evict.GetService(), Rank: int(wms.Evict.GetRank())}
	case *peerpb.Envelope_Evicted:
		return reservation.Evicted{ID: idFromWire(wms.Evicted.GetId()), Done: wms.Evicted.GetDone(), FloorRank: int(wms.Evicted.GetFloorRank())}
	case *peerpb.Envelope_EngineEnded:
		return crashFromWire(wms.EngineEnded)
	case *peerpb.Envelope_VersionsKnown:
		return reservation.VersionsKnown{Number: wms.VersionsKnown.GetNumber()}
	case *peerpb.Envelope_StreamsBegan:
		return streamsFromWire(wms.StreamsBegan)
	case *peerpb.Envelope_EngineNotice:
		return noticeFromWire(wms.EngineNotice)
	case *peerpb.Envelope_Emptying:
		return enforcedOrdersFromWire(wms.Emptying)
	case *peerpb.Envelope_CaseReport:
		return reservation.CaseReport{Report: caseReportFromWire(wms.CaseReport)}
	default:
		return nil
	}
}

func adoptFromWire(wad *peerpb.Adopt) reservation.Adopt {
	return reservation.Adopt{
		ID: idFromWire(wad.GetId()), Ballot: ballotFromWire(wad.GetBallot(), wad.GetId()), Engine: wad.GetEngine(),
		Service: wad.GetService(), Account: wad.GetAccount(), Cost: wad.GetCost(),
		PendingPrefill: wad.GetUnread(), PromptTokens: int(wad.GetPromptTokens()), Route: wad.GetRoute(), Digest: digestFromWire(wad.GetDigest()),
		Rank: int(wad.GetRank()), Urgency: int(wad.GetUrgency()), Client: wad.GetClient(), Work: fromMicros(wad.GetWorkUs()),
		Stream: affinity.Stream(wad.GetStream()), StreamLife: fromMicros(wad.GetStreamLifeUs()), Parts: partsFromWire(wad.GetParts()),
	}
}

func reserveFromWire(wre *peerpb.Reserve) reservation.Reserve {
	return reservation.Reserve{
		ID: idFromWire(wre.GetId()), Ballot: ballotFromWire(wre.GetBallot(), wre.GetId()), Service: wre.GetService(),
		Tier: wre.GetTier(), Rank: int(wre.GetRank()), Account: wre.GetAccount(), Weight: float64(wre.GetWeight()),
		PromptTokens: int(wre.GetPromptTokens()), MaxTokens: int(wre.GetMaxTokens()),
		PrefixHash: wre.GetPrefixHash(), PrefixTokens: int(wre.GetPrefixTokens()),
		Remaining: fromMicros(wre.GetRemainingUs()), Overflow: wre.GetOverflow(),
		Domain: wre.GetDomain(), LatencyTarget: fromMicros(wre.GetAimUs()), ClientWait: fromMicros(wre.GetAgeUs()), Route: wre.GetRoute(), Repeatable: wre.GetRepeatable(),
		Cost: wre.GetCost(), Attempt: int(wre.GetAttempt()),
		Exclude: wre.GetExclude(), Parts: partsFromWire(wre.GetParts()),
		Urgency: int(wre.GetUrgency()), AnswerTokens: int(wre.GetAnswerTokens()), Digest: digestFromWire(wre.GetDigest()), Requeued: wre.GetAgain(), Regions: wre.GetRegions(),
		Client: wre.GetClient(), WaitLimit: fromMicros(wre.GetWaitLimitUs()),
		Stream: affinity.Stream(wre.GetStream()), Resumed: wre.GetResumed(), Origin: affinity.Origin{Service: wre.GetOriginService(), Version: wre.GetOriginVersion()},
		StreamLife: fromMicros(wre.GetStreamLifeUs()),
	}
}

func grantFromWire(wgr *peerpb.Grant) reservation.Grant {
	gra := reservation.Grant{ID: idFromWire(wgr.GetId()), Ballot: ballotFromWire(wgr.GetBallot(), wgr.GetId()), Engine: wgr.GetEngine(), Cold: wgr.GetCold(), Waited: fromMicros(wgr.GetWaitedUs()), Work: fromMicros(wgr.GetWorkUs()), Version: wgr.GetVersion(), Debt: max(0, wgr.GetDebt())}
	gra.Rate = grantRateFromWire(wgr.GetRate())
	return gra
}

func refuseFromWire(wre *peerpb.Refuse) reservation.Refuse {
	return reservation.Refuse{
		ID: idFromWire(wre.GetId()), Ballot: ballotFromWire(wre.GetBallot(), wre.GetId()), Reason: reservation.Reason(wre.GetReason()),
		Holder: request.Epoch(wre.GetHolder()), RetryAfter: fromMicros(wre.GetRetryAfterUs()), FloorRank: int(wre.GetFloorRank()),
		Waited: fromMicros(wre.GetWaitedUs()), ValidFor: fromMicros(wre.GetValidUs()), AnyAccount: wre.GetAnyAccount(),
	}
}

func releaseFromWire(wre *peerpb.Release) reservation.Release {
	return reservation.Release{
		ID: idFromWire(wre.GetId()), Ballot: ballotFromWire(wre.GetBallot(), wre.GetId()), Engine: wre.GetEngine(),
		Dispatched: wre.GetDispatched(), Failed: wre.GetFailed(),
		PrefillTokens: int(wre.GetPrefillTokens()), DecodeTokens: int(wre.GetDecodeTokens()),
		FirstToken: fromMicros(wre.GetFirstTokenUs()), Total: fromMicros(wre.GetTotalUs()),
		Rejected: wre.GetRejected(), Answered: wre.GetAnswered(), Throttled: wre.GetBackedOff(),
	}
}

func heldGrantsFromWire(who *peerpb.Hold) reservation.HeldGrants {
	hol := reservation.HeldGrants{}
	for _, wid := range who.GetIds() {
		hol.IDs = append(hol.IDs, idFromWire(wid))
	}
	return hol
}

func recordsToWire(records []reservation.Record) []*peerpb.Record {
	raw := make([]*peerpb.Record, len(records))
	for idx, rec := range records {
		raw[idx] = &peerpb.Record{
			Id: idToWire(rec.ID), Ballot: ballotToWire(rec.Ballot), Standing: uint32(rec.State), Engine: rec.Engine,
		}
	}
	return raw
}

func recordsFromWire(raw []*peerpb.Record) []reservation.Record {
	records := make([]reservation.Record, len(raw))
	for idx, wre := range raw {
		records[idx] = reservation.Record{
			ID: idFromWire(wre.GetId()), Ballot: ballotFromWire(wre.GetBallot(), wre.GetId()),
			State: reservation.FenceState(wre.GetStanding()), Engine: wre.GetEngine(),
		}
	}
	return records
}

func attestationKeyToWire(key reservation.AttestationKey) *peerpb.VouchKey {
	return &peerpb.VouchKey{Lost: uint64(key.Lost), Holder: uint64(key.Holder)}
}

func attestationKeyFromWire(wke *peerpb.VouchKey) reservation.AttestationKey {
	return reservation.AttestationKey{Lost: request.Epoch(wke.GetLost()), Holder: request.Epoch(wke.GetHolder())}
}

func fenceAnswerToWire(ans reservation.FenceAnswer) *peerpb.FenceResponse {
	res := &peerpb.FenceResponse{
		Id: idToWire(ans.ID), Standing: uint32(ans.State), Ballot: ballotToWire(ans.Ballot), Engine: ans.Engine,
		Holders: epochsToWire(ans.Holders), Successions: epochsToWire(ans.Successions),
	}
	for _, key := range ans.Attestations {
		res.Vouches = append(res.Vouches, attestationKeyToWire(key))
	}
	return res
}

func fenceAnswerFromWire(res *peerpb.FenceResponse) reservation.FenceAnswer {
	ans := reservation.FenceAnswer{
		ID: idFromWire(res.GetId()), From: request.Epoch(res.GetHeader().GetEpoch()),
		State: reservation.FenceState(res.GetStanding()), Ballot: ballotFromWire(res.GetBallot(), res.GetId()), Engine: res.GetEngine(),
		Holders: epochsFromWire(res.GetHolders()), Successions: epochsFromWire(res.GetSuccessions()),
	}
	for _, wke := range res.GetVouches() {
		ans.Attestations = append(ans.Attestations, attestationKeyFromWire(wke))
	}
	return ans
}

func grantRateFromWire(rate uint32) reservation.GrantRate {
	if rate > uint32(reservation.GrantRateUnlimited) {
		return reservation.GrantRateUnknown
	}
	return reservation.GrantRate(rate)
}
