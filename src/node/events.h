/// All log events and the fields of their lines. docs/LOGS.md contains this
/// table.
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
  kLateRequest,
  kRequestCut,
  kExited,
  kHandlerFailed,
  kStoreLost,
  kStoreBack,
  kStoreHistoryGone,
  kStoreEra,
  kStoreRelisted,
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
  kStoreRole,
  kDomainEvacuated,
  kDomainRestored,
  kTargetLimited,
  kTargetLimitEnded,
  kHostsListed,
  kHostObjectRemoved,
  kMemberChanged,
  kPlacerTaken,
  kPlacerSilent,
  kPlacement,
  kGrantDeclined,
  kQueueDecision,
  kPlacementOutdated,
  kPlaced,
  kReservationRefused,
  kTargetSilent,
  kSilenceBorne,
  kResumeRefused,
  kPathLost,
  kPathBack,
  kRequestCarried,
  kCarryFailed,
  kCarriedForHost,
  kCarriedEnded,
  kAnswerMemory,
  kTryFailed,
  kRequestSuspected,
  kCrashSuspected,
  kCrashCondemned,
  kCrashLifted,
  kCrashRefused,
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
  std::string_view fields;  ///< Separated by single spaces. All are optional.
};

inline constexpr std::array<EventSpec, 82> kEventSpecs = {{
    {"started", "the host process started", "host failure_domain store"},
    {"settings_invalid", "the settings are invalid; the process exits",
     "problem"},
    {"cannot_listen", "a listener could not be opened; the process exits",
     "problem"},
    {"metrics_unavailable",
     "the metrics endpoint could not be opened; the host serves requests "
     "without it",
     "problem"},
    {"settings_reloaded",
     "SIGHUP or a changed settings file triggered a reload", "cause problem"},
    {"stopping", "a planned shutdown started", "open_requests"},
    {"stopped", "a planned shutdown is complete",
     "open_requests unanswered took"},
    {"late_request",
     "a request arrived during a planned shutdown; elapsed: time since "
     "the "
     "shutdown started; limit, estimate: time until its final answer at "
     "the "
     "latest and until its complete answer as expected; left: time until "
     "open "
     "requests are answered; accepted: it was not refused",
     "request route elapsed limit estimate left accepted"},
    {"request_cut",
     "a request was open when a planned shutdown ended, and got its final "
     "answer; stage: placing, reserving, sent or streaming; sent_for: "
     "time "
     "since it was sent to the target; left: time until its deadline",
     "request route target stage took sent_for left"},
    {"exited", "the process ends on its own", ""},
    {"handler_failed",
     "an exception left the handler of an event; the request that it was for "
     "has failed, the process goes on",
     "reason"},
    {"store_lost", "the store does not answer", "kind"},
    {"store_back", "the store answers again", ""},
    {"store_history_gone",
     "the store no longer has some changes of a watched kind; the kind is "
     "listed again",
     "kind version era"},
    {"store_era",
     "the store came back from an older copy of itself: its era changed; "
     "host: "
     "a peer knows a later era, which this host has yet to see; outdated: "
     "an "
     "answer of an earlier era came late and is not used; unreadable: "
     "answers "
     "name an era that can't be read, and count as of the known one",
     "before era host outdated unreadable"},
    {"store_relisted",
     "a kind is listed again after the time wait, because the era of the "
     "store "
     "changed; version: of this host's copy, in the era before",
     "kind version before era wait"},
    {"store_call_failed",
     "a list or watch call failed; silent: it timed out; behind: it was "
     "aborted because a peer has a newer version",
     "kind code silent behind version era age"},
    {"document_applied",
     "a configuration was applied; shared_keys: listed by several accounts, "
     "taken for none's",
     "version before routes keys shared_keys"},
    {"document_fetched",
     "a configuration was fetched from a peer; whole: it is complete",
     "host whole"},
    {"document_invalid",
     "a configuration could not be parsed; the previous one stays in "
     "force",
     "source code"},
    {"target_seen",
     "an entry of the target list was added or changed; older: it was "
     "written "
     "from a report that precedes the last one, and is ignored; closed: "
     "this "
     "host sends it no requests, possibly because of a report by a peer "
     "or by "
     "the target itself; cold: how much longer it is cold",
     "target service address leaving closed version era older cold"},
    {"target_removed",
     "an entry was removed from the target list; kept: the target stays "
     "in "
     "use, as the entry may have expired during an outage of the store or "
     "be "
     "missing in an older copy of it; overdue: it was kept and did not "
     "come "
     "back in time",
     "target version era kept overdue"},
    {"target_unreadable",
     "an entry of the target list describes no usable target; logged once "
     "until it is readable or removed; target: empty if its name could not be "
     "read",
     "target"},
    {"target_marked",
     "a peer reported, before this host's target list did, that a target "
     "accepts no new requests; born: the start of the target to which the "
     "report applies, as the target gave it",
     "target version born list_version era"},
    {"target_left",
     "a target reported in a response that it is leaving; it gets no "
     "requests "
     "from this host until the list has a later start of it",
     "request target born version list_version era"},
    {"target_rests",
     "a target rejected a request and asked this host to back off; rest: "
     "for "
     "how long; unreadable: the time could not be parsed",
     "request target born rest unreadable"},
    {"store_role",
     "whether this host reads the store has changed; role: one_of_all in a "
     "small fleet, else reader or passive; readers: hosts that read it",
     "role hosts readers"},
    {"domain_evacuated",
     "an operator took a failure domain out of service, and its targets get no "
     "new requests; targets: listed there, 0 if no target names the domain, "
     "absent if no targets were listed yet; "
     "host: the peer that told it",
     "failure_domain targets version era host"},
    {"domain_restored", "an evacuated failure domain is in service again",
     "failure_domain targets version era host"},
    {"target_limited",
     "a target reported a new or changed limit of requests per second "
     "from all "
     "hosts together; host: the peer that passed the report on, if any; "
     "unreadable: the limit could not be parsed",
     "request service target born rate before host unreadable"},
    {"target_limit_ended",
     "a target no longer reports a limit; host: the peer that passed the "
     "report on, if any",
     "request service target born rate host"},
    {"hosts_listed", "the list of hosts was read from the store", "hosts"},
    {"host_object_removed", "a dead host's object was removed from the store",
     "host"},
    {"member_changed", "the membership state of another host changed",
     "member member_incarnation state"},
    {"placer_taken",
     "this host became the holder of a placer and receives placement "
     "requests",
     "service peers"},
    {"placer_silent", "the holder of a placer does not answer", "host service"},
    {"placement", "every 500 ms at the holder of a placer",
     "service waiting running unread targets closed short_engines "
     "long_engines "
     "reserve closing full poor limited cold reading repeats_left "
     "repeats_elsewhere "
     "memory"},
    {"grant_declined",
     "this host rejected a grant because it knows that the target is leaving, "
     "asked to back off (rest), or is listed for another service (listed)",
     "target service listed holder rest"},
    {"queue_decision",
     "a request waits at the cost-aware queue, was deferred there or refused "
     "(outcome); preferred: one of those served before it (ahead) or because "
     "of it, by priority, deadline or work",
     "request service outcome by preferred ahead retry_after"},
    {"placement_outdated",
     "a datagram about placement was sent by, or answers, an earlier process "
     "(incarnation) than the latest one of its host, and is ignored",
     "host incarnation latest"},
    {"placed", "a request was granted a target",
     "request service target targets try waited estimate holder prompt_tokens "
     "entry_version list_version era list_age out_of_turns"},
    {"reservation_refused", "a target rejected the reservation of memory",
     "target status held"},
    {"target_silent",
     "a target has sent nothing for longer than usual; elsewhere: another "
     "target is requested, otherwise the request stays with this one",
     "request target head_sent begun sent_for try elsewhere"},
    {"silence_borne",
     "no other target takes a request whose target is silent; it stays "
     "with "
     "this one",
     "request target code"},
    {"resume_refused",
     "a target did not continue a stream after the last event that the "
     "caller "
     "has (last_id), but with next_id; nothing of it was forwarded",
     "request target last_id next_id try"},
    {"path_lost",
     "connections from this host to several targets of a service failed and "
     "none was made since (after: time since the last one); its requests are "
     "sent over other hosts",
     "service targets after"},
    {"path_back",
     "this host made a connection to a target of a service that was out of its "
     "reach",
     "service address"},
    {"request_carried",
     "an attempt is sent to its target over another host; failing: targets of "
     "the service to which connections failed lately; direct: its own "
     "connection failed first",
     "request service target host failing direct took"},
    {"carry_failed",
     "another host did not get an answer for an attempt; reason: declined, "
     "unreachable (it made no connection to the target), gone (it did not "
     "answer itself), broken or silent; sent: the target may have the request",
     "request service target host reason sent"},
    {"carried_for_host",
     "this host sent, or refused to send, a request of another host to a "
     "target; refused: why it did not",
     "request host service address refused carrying"},
    {"carried_ended",
     "a target gave no success for a request of another host; own, id_reused, "
     "earlier_calls, skipped: as in try_failed",
     "request host service address code status sent own id_reused "
     "earlier_calls skipped"},
    {"answer_memory",
     "the caller of a long answer takes it slowly, or all memory for answers "
     "is used; action: paused (the target is read no further until the caller "
     "has read; logged once for a request), passed_on before it was whole, or "
     "dropped",
     "request target action unwritten used limit"},
    {"try_failed",
     "an attempt ended without a complete answer; named: the answer named the "
     "request; own: it did, or came where each earlier answer named its own; "
     "id_reused: its connection may have carried a request with the same id "
     "before, as that of a carrying host that does not rule it out; "
     "earlier_calls, skipped: requests of the host's own connection before, "
     "and answers to others that came before this one. The last four are of "
     "answers that came to their end",
     "request target cause end status sent not_run named own id_reused "
     "earlier_calls skipped head_sent begun sent_for account parts try next"},
    {"request_suspected",
     "a connection broke during a request, possibly because the target "
     "crashed; crashes: targets at which this whole request met that",
     "fingerprint target crashes"},
    {"crash_suspected",
     "a connection broke before a target had answered; confirmed: the "
     "target "
     "then refused a connection, so that it has crashed; one line for "
     "each "
     "request that it was about to answer; crashes: those remembered here",
     "service target born requests confirmed fingerprint parts crashes"},
    {"crash_condemned",
     "requests that contain all of these subjects (parts of prompts or "
     "whole "
     "requests, as hashes) are no longer sent, because they crash "
     "targets; "
     "first, age: time since the first and the last crash; host: the peer "
     "that "
     "reported it, if any",
     "subjects accounts targets first age host"},
    {"crash_lifted",
     "such requests are sent again, because a target answered one",
     "subjects accounts targets first age host"},
    {"crash_refused",
     "a request was not sent because of crash_condemned; targets: some "
     "that "
     "crashed; age: time since the last crash; without these: connections "
     "broke under the same request",
     "request service subjects targets age trials"},
    {"request_ended",
     "a request got its only final answer; sent_to: the targets that it was "
     "sent to, directly or over a host that was to carry it, in order. Never "
     "left out if it names several and the request must not run twice",
     "request route version account code prompt_tokens tries sent_to ran "
     "events first_event longest_pause took objective max_gap service outcome "
     "attempts output_tokens took_ms"},
    {"lines_left_out",
     "lines of an event were dropped in an earlier second because they "
     "exceeded its budget",
     "of lines"},
    {"lines_lost",
     "complete lines were dropped because the reader of the log was too "
     "slow",
     "lines"},
    {"library", "a line logged by a library", "message"},
    {"host_started", "the daemon started", "host failure_domain incarnation"},
    {"start_failed", "the daemon could not start", "reason"},
    {"host_stopped", "the daemon ends", "exit_code"},
    {"drain_asked", "a drain (planned shutdown) was requested", "by"},
    {"drain_began", "a drain started", ""},
    {"drain_refuses",
     "new requests are rejected from now on because of a drain", ""},
    {"admitting",
     "requests are admitted again, or rejected from now on for the given "
     "reason",
     "reason"},
    {"request_refused", "a request was rejected before admission",
     "field code"},
    {"attempt_failed", "an attempt at a target failed",
     "request attempt code not_run crashed"},
    {"config_applied", "a configuration generation came into force",
     "generation hash"},
    {"config_rejected", "a configuration document was rejected",
     "generation problems"},
    {"config_problem", "a problem was found in a configuration document",
     "problem"},
    {"tls_reloaded", "a new certificate is in use", ""},
    {"tls_reload_failed",
     "a new certificate could not be loaded; the previous one stays in "
     "use",
     "reason"},
    {"order_sent", "an order was sent to a target", "target kind model fence"},
    {"rollout_stopped", "a model version failed to load; its rollout stopped",
     "service model target"},
    {"peer_refused",
     "a call or datagram of another host was rejected; datagrams are "
     "logged "
     "every 10 s, with their count since the start",
     "code from count"},
    {"stewardship_began",
     "this host became the steward of a target, which grants the target's "
     "memory",
     "target"},
    {"sweep_cancel", "work that no host owns is cancelled at its target",
     "request attempt target"},
    {"actor_failed", "an actor ended with an error", "actor reason"},
}};

const EventSpec& SpecOf(Event event);
/// Whether lines of the event may have the field.
bool HasField(const EventSpec& spec, std::string_view field);
/// Renders the table for docs/LOGS.md.
std::string RenderEvents();

}  // namespace comfreyflow::node
