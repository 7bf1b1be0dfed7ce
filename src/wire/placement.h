/// Encodes and decodes the datagrams in which hosts send placement requests to
/// the holder of a placer and receive its decisions.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "comfreyflow/crash-ledger.h"
#include "comfreyflow/membership.h"
#include "comfreyflow/placer.h"
#include "wire/codec.h"

namespace comfreyflow::wire {

/// A placement request of the sender.
struct PlaceRequestMessage {
  ServiceName service;
  PlaceJob job;
};

/// The answer to a placement request.
struct PlaceAnswerMessage {
  std::uint64_t sequence = 0;  ///< Sequence of the request's `RequestId`.
  /// The process that requested the placement; absent: an older build, which
  /// does not tell.
  std::optional<Incarnation> asker = {};
  std::uint32_t number = 1;  ///< `PlaceJob::number` of the placement request.
  /// The request is queued at the placer; `decision` has no meaning yet.
  bool is_queued = false;
  PlaceDecision decision;
};

/// Reports that work of the sender on a target started or ended.
struct PlaceNoteMessage {
  std::uint64_t sequence = 0;
  ServiceName service;
  bool ended = false;            ///< False: the work started.
  WorkEnd end = WorkEnd::kDone;  ///< Used only if `ended`.
  TargetName at;  ///< Target that caused the end; the first target if empty.
};

/// The running work of the sender on the targets of one service.
struct PlaceSyncMessage {
  ServiceName service;
  std::vector<RunningWork> running;
  /// What other holders than the receiver granted to the sender; absent: an
  /// older build, which does not tell.
  std::optional<std::vector<comfreyflow::GrantCount>> elsewhere = {};
  /// What the sender knows of grants to hosts that have ended.
  std::vector<comfreyflow::HostGrants> departed = {};
};

/// The target told the sender to send it no request for the duration
/// `back_off`.
struct TargetBackOffMessage {
  ServiceName service;
  TargetName target;
  Duration back_off{};
};

/// The rate limit of a target, as known to the sender.
struct TargetLimitMessage {
  ServiceName service;
  LimitReport report;
};

/// What the sender knows of crashes and their causes.
struct CrashNewsMessage {
  std::vector<comfreyflow::CrashReport> crashes;
  std::vector<comfreyflow::Acquittal> acquittals;
  std::vector<comfreyflow::CrashVerdict> verdicts;
  /// The sender asks for the receiver's verdicts and recent crashes.
  bool wanted = false;
  bool empty() const {
    return crashes.empty() && acquittals.empty() && verdicts.empty() && !wanted;
  }
};

/// The contents of one datagram.
struct PlaceMessages {
  HostName sender;
  Incarnation incarnation;
  std::vector<PlaceRequestMessage> requests;
  std::vector<PlaceAnswerMessage> answers;
  std::vector<PlaceNoteMessage> notes;
  std::vector<PlaceSyncMessage> syncs;
  std::vector<comfreyflow::TargetMark> leaving;  ///< As the targets announced.
  std::vector<TargetBackOffMessage> back_offs;
  std::vector<TargetLimitMessage> limits;
  CrashNewsMessage crash_news;
  bool empty() const {
    return requests.empty() && answers.empty() && notes.empty() &&
           syncs.empty() && leaving.empty() && back_offs.empty() &&
           limits.empty() && crash_news.empty();
  }
};

/// Arrival times and deadlines of placement requests are encoded relative to
/// `now`, because the clocks of hosts differ.
std::string EncodePlacement(const PlaceMessages& messages, const FleetKey& key,
                            Time now);
/// Returns `kBadSignature` or `kCodec` on failure; `out` may then be partly
/// filled. The ids of placement requests and of running work are completed with
/// the name and incarnation of the sender. Decisions in answers keep an empty
/// id, which the receiver knows from `sequence`.
std::error_code DecodePlacement(std::string_view bytes, const FleetKey& key,
                                Time now, PlaceMessages& out);

}  // namespace comfreyflow::wire
