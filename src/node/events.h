/// Every event that a process writes to its log, and the fields of its lines.
/// docs/LOGS.md shows this table.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace comfreyflow::node {

enum class Event : std::uint8_t {
  kStarted,
  kSettingsInvalid,
  kCannotListen,
  kMetricsUnavailable,
  kSettingsReloaded,
  kStopping,
  kStopped,
  kExited,
  kStoreLost,
  kStoreBack,
  kStoreHistoryGone,
  kStoreCallFailed,
  kDocumentApplied,
  kDocumentFetched,
  kDocumentInvalid,
  kTargetSeen,
  kTargetRemoved,
  kTargetUnreadable,
  kTargetMarked,
  kTargetLeft,
  kTargetRests,
  kTargetLimited,
  kTargetLimitEnded,
  kHostsListed,
  kHostObjectRemoved,
  kMemberChanged,
  kPlacerTaken,
  kPlacerSilent,
  kPlacement,
  kGrantDeclined,
  kPlaced,
  kReservationRefused,
  kTryFailed,
  kCrashSuspected,
  kRequestEnded,
  kLinesLeftOut,
  kLinesLost,
  kLibrary,
  kHostStarted,
  kStartFailed,
  kHostStopped,
  kDrainAsked,
  kDrainBegan,
  kDrainRefuses,
  kAdmitting,
  kRequestRefused,
  kAttemptFailed,
  kConfigApplied,
  kConfigRejected,
  kConfigProblem,
  kTlsReloaded,
  kTlsReloadFailed,
  kOrderSent,
  kRolloutStopped,
  kPeerRefused,
  kStewardshipBegan,
  kSweepCancel,
  kActorFailed,
};

struct EventSpec {
  const char* name;
  const char* when;
  std::string_view fields;  ///< Between single spaces; each may be absent.
};

inline constexpr std::array<EventSpec, 58> kEventSpecs = {{
    {"started", "a host process began", "host failure_domain store"},
    {"settings_invalid", "the settings can't be used; the process ends",
     "problem"},
    {"cannot_listen", "a listener could not be opened; the process ends",
     "problem"},
    {"metrics_unavailable",
     "metrics can't be served; the host serves all the same", "problem"},
    {"settings_reloaded", "SIGHUP, or a changed settings file",
     "cause problem"},
    {"stopping", "a planned stop began", "open_requests"},
    {"stopped", "a planned stop is over", "open_requests took"},
    {"exited", "the process ends by itself", ""},
    {"store_lost", "the store does not answer", "kind"},
    {"store_back", "the store answers again", ""},
    {"store_history_gone", "changes are missing; the kind is listed anew",
     "kind version"},
    {"store_call_failed",
     "a list or watch ended without its answer; silent: nothing came in time; "
     "behind: given up, as a peer knows more",
     "kind code silent behind version age"},
    {"document_applied", "a configuration is in force",
     "version before routes keys"},
    {"document_fetched", "a configuration was asked of a peer", "host whole"},
    {"document_invalid", "a configuration can't be read; the one before stays",
     "source code"},
    {"target_seen",
     "an entry of the list of targets came or changed; older: it was written "
     "from a report before the last one, and not taken; closed: it gets no "
     "work here, maybe by a peer's or its own word",
     "target service address leaving closed version older"},
    {"target_removed",
     "an entry is gone from the list; kept: it may have lapsed in an outage",
     "target version kept"},
    {"target_unreadable", "an entry names no target that could be used",
     "target"},
    {"target_marked",
     "a peer told that a target takes no new work, before this host's list "
     "did; born: by the target's own word, that start of it",
     "target version born list_version"},
    {"target_left",
     "a target said in its answer that it leaves; closed here until a later "
     "start is listed",
     "request target born version list_version"},
    {"target_rests",
     "a target turned a request away and wants nothing of this host for a "
     "while; unreadable: it named a time that can't be read",
     "request target born rest unreadable"},
    {"target_limited",
     "a target named, first or with another value, the requests a second that "
     "it takes from all hosts together; host: that told it, if not the target "
     "itself; unreadable: it named a limit that can't be read",
     "request service target born rate before host unreadable"},
    {"target_limit_ended",
     "a target names its limit no more; host: that told it, if not the target "
     "itself",
     "request service target born rate host"},
    {"hosts_listed", "the store's list of hosts was read", "hosts"},
    {"host_object_removed", "a dead host's object was removed from the store",
     "host"},
    {"member_changed", "another host's state",
     "member member_incarnation state"},
    {"placer_taken", "this host began to be asked for placement",
     "service peers"},
    {"placer_silent", "the holder of a placer does not answer", "host service"},
    {"placement", "each half second at the holder of a placer",
     "service waiting running unread targets closed short_engines long_engines "
     "reserve closing full poor limited reading repeats_left memory"},
    {"grant_declined",
     "a grant named a target that this host knows to leave, or to want nothing "
     "for a while (rest)",
     "target holder rest"},
    {"placed", "a target was granted",
     "request target targets try waited estimate holder prompt_tokens "
     "entry_version list_version list_age out_of_turns"},
    {"reservation_refused", "a target did not set memory aside",
     "target status held"},
    {"try_failed", "a try ended without its whole answer",
     "request target cause end status sent not_run head_sent try next"},
    {"crash_suspected", "a connection broke under a request",
     "fingerprint target crashes"},
    {"request_ended", "the one final answer",
     "request route version account code prompt_tokens tries ran events "
     "first_event longest_pause took service outcome attempts output_tokens "
     "took_ms"},
    {"lines_left_out",
     "lines of an event beyond its budget, in an earlier second", "of lines"},
    {"lines_lost", "whole lines that the log's reader was too slow for",
     "lines"},
    {"library", "a library's own line", "message"},
    {"host_started", "the daemon began", "host failure_domain incarnation"},
    {"start_failed", "the daemon could not start", "reason"},
    {"host_stopped", "the daemon ends", "exit_code"},
    {"drain_asked", "a planned stop was asked for", "by"},
    {"drain_began", "a planned stop began", ""},
    {"drain_refuses", "no more requests are taken during a planned stop", ""},
    {"admitting", "requests are taken, or not any more", "reason"},
    {"request_refused", "a request was refused before it was admitted",
     "field code"},
    {"attempt_failed", "an attempt at a target failed",
     "request attempt code not_run crashed"},
    {"config_applied", "a generation is in force", "generation hash"},
    {"config_rejected", "a document was refused", "generation problems"},
    {"config_problem", "a fault in a document", "problem"},
    {"tls_reloaded", "a new certificate is in use", ""},
    {"tls_reload_failed", "a new certificate can't be used", "reason"},
    {"order_sent", "an order went to a target", "target kind model fence"},
    {"rollout_stopped", "a version failed to load", "service model target"},
    {"peer_refused",
     "a call or datagram of another host was refused; datagrams: told each 10 "
     "s, with their count since the start",
     "code from count"},
    {"stewardship_began", "this host grants a target's memory", "target"},
    {"sweep_cancel", "work that no host has is cancelled at its target",
     "request attempt target"},
    {"actor_failed", "an actor ended with an error", "actor reason"},
}};

const EventSpec& SpecOf(Event event);
/// Whether lines of the event have the field.
bool HasField(const EventSpec& spec, std::string_view field);
/// The table as docs/LOGS.md has it.
std::string RenderEvents();

}  // namespace comfreyflow::node
