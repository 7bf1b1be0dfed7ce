/// Conversions of the messages between hosts from and to the types of the core
/// library.
#pragma once

#include <string>
#include <vector>

#include "comfreyflow/claims.h"
#include "comfreyflow/entry.h"
#include "comfreyflow/poison.h"
#include "comfreyflow/steward.h"
#include "comfreyflow/target.h"
#include "comfreyflow_types.h"

namespace comfreyflow::node {

wire::AttemptId ToWire(const AttemptId& id);
AttemptId FromWire(const wire::AttemptId& id);
std::vector<wire::AttemptId> ToWire(const std::vector<AttemptId>& ids);
std::vector<AttemptId> FromWire(const std::vector<wire::AttemptId>& ids);

/// Points in time are sent as the time remaining until them, because the clocks
/// of hosts differ.
wire::Body ReserveBody(const TargetName& target,
                       const ReservationRequest& request, Time now);
ReservationRequest ReserveFromWire(const wire::ReserveCall& call, Time now);

wire::Body GrantBody(const TargetName& target, const ReservationReply& answer);
GrantAnswered GrantFromWire(const wire::GrantCall& call);

wire::Body ReleaseBody(const TargetName& target, const AttemptId& attempt);
wire::Body PrefilledBody(const TargetName& target, const AttemptId& attempt);

wire::Body CrashBody(const CrashEvidence& evidence);
CrashEvidence CrashFromWire(const wire::CrashCall& call);

wire::LoadReport ToWire(const TargetReport& report);
TargetReport FromWire(const wire::LoadReport& report);

wire::Body OwnersBody(const std::vector<AttemptId>& attempts);
wire::Body OwnersAnswerBody(const std::vector<AttemptId>& unknown);

wire::Body ClaimsBody(const std::vector<ClaimRecord>& records);
std::vector<ClaimRecord> FromWire(const wire::ClaimsCall& call);
wire::Body ClaimsAnswerBody(const std::vector<PeerVerdict>& verdicts);
std::vector<PeerVerdict> FromWire(const wire::ClaimsAnswer& answer);

}  // namespace comfreyflow::node
