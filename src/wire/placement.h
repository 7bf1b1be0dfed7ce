/// Bytes of the datagrams by which hosts ask for placement, and the messages
/// in the types of the decisions.
#pragma once

#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "comfreyflow/membership.h"
#include "comfreyflow/placer.h"
#include "wire/codec.h"

namespace comfreyflow::wire {

struct PlaceAskMessage {
  ServiceName service;
  PlaceJob job;
};

/// Absent from an answer: the request waits at the placer.
struct PlaceAnswerMessage {
  std::uint64_t sequence = 0;
  std::uint32_t number = 1;
  bool waits = false;
  PlaceDecision verdict;
};

struct PlaceNoteMessage {
  std::uint64_t sequence = 0;
  ServiceName service;
  bool ended = false;  ///< Else it began.
  WorkEnd end = WorkEnd::kDone;
  TargetName at;  ///< The target that was the cause; empty: the first.
};

struct PlaceSyncMessage {
  ServiceName service;
  std::vector<RunningWork> running;
};

/// The target wants no request of the sender for `rest`.
struct TargetRestMessage {
  ServiceName service;
  TargetName target;
  Duration rest{};
};

struct TargetLimitMessage {
  ServiceName service;
  LimitReport word;
};

struct PlaceMessages {
  HostName sender;
  Incarnation incarnation;
  std::vector<PlaceAskMessage> asks;
  std::vector<PlaceAnswerMessage> answers;
  std::vector<PlaceNoteMessage> notes;
  std::vector<PlaceSyncMessage> syncs;
  std::vector<comfreyflow::TargetMark> leaving;  ///< By the targets' own word.
  std::vector<TargetRestMessage> rests;
  std::vector<TargetLimitMessage> limits;
  bool empty() const {
    return asks.empty() && answers.empty() && notes.empty() && syncs.empty() &&
           leaving.empty() && rests.empty() && limits.empty();
  }
};

/// Times of asks travel as what remains at `now`.
std::string EncodePlacement(const PlaceMessages& messages, const FleetKey& key,
                            Time now);
/// Ids of requests are completed with the sender's name; in answers they are
/// left to the receiver.
std::error_code DecodePlacement(std::string_view bytes, const FleetKey& key,
                                Time now, PlaceMessages& out);

}  // namespace comfreyflow::wire
