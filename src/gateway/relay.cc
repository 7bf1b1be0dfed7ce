// Relays one request from its arrival to its final answer.
#include "gateway/relay.h"

#include <xxhash.h>

#include <algorithm>
#include <cinttypes>
#include <limits>
#include <utility>

#include "comfreyflow/event-splitter.h"
#include "comfreyflow/relay-policy.h"
#include "gateway/answer-flow.h"
#include "gateway/reservations.h"
#include "http/lazy-timer.h"
#include "node/clock.h"
#include "node/log.h"

namespace comfreyflow::gateway {
namespace {

using comfreyflow::detail::Now;
using node::Event;
using node::LogLine;
using node::Severity;
using std::chrono::ceil;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Applies when neither the caller nor the route sets a deadline.
constexpr Duration kDefaultDeadline = std::chrono::seconds(30);
constexpr std::chrono::milliseconds kConnectTimeout{500};
/// A request that must not be retried is not sent on a connection that was idle
/// for longer, because the target may have closed it.
constexpr std::chrono::milliseconds kNonRetryableIdleLimit{1500};
/// Answers up to this size are buffered until they are complete, so that the
/// caller never takes a truncated answer for a complete one.
constexpr std::size_t kMaxBufferedAnswerBytes = 1024 * 1024;
constexpr int kServerErrors = 500;
/// A target that has written an answer for this long does not crash on it.
constexpr Duration kProofTime = std::chrono::milliseconds(250);
/// An engine decodes this much slower beside other requests than alone.
constexpr int kDecodeFactor = 2;
/// Minimum Retry-After while this host has no configuration.
constexpr Duration kNoConfigurationRetry = std::chrono::seconds(1);
/// Largest urgency value on the wire, which is the least urgent.
constexpr int kMaxUrgency = 9;

/// Hexadecimal numbers, separated by commas.
std::string ToHexList(const std::vector<std::uint64_t>& numbers) {
  std::string out;
  char text[20];
  for (const auto number : numbers) {
    std::snprintf(text, sizeof(text), "%s%016" PRIx64, out.empty() ? "" : ",",
                  number);
    out += text;
  }
  return out;
}

/// An attempt at a silent target that goes on while the request is sent to
/// another one, which has sent no part of an answer.
struct ParkedAttempt {
  std::uint64_t number = 0;
  PlaceGrant grant;
  std::unique_ptr<Reservations> reservations;
  std::vector<Reservation> requested_reservations;
  std::shared_ptr<http::Call> call;
  Time sent_at;
  bool is_sent = false;
  bool has_started = false;
  Time started_at;
  bool is_proven = false;
  bool is_event_stream = false;
  TargetHead head;
  http::Response response;
  std::string body;
  http::AnswerProof answer;
  std::string unfinished;  ///< Start of an event.
};

class Relay : public OpenRequest, public std::enable_shared_from_this<Relay> {
 public:
  Relay(RelayContext& context, http::ExchangePtr exchange)
      : context_(context),
        exchange_(std::move(exchange)),
        arrival_(Now()),
        deadline_timer_(context.io.get_executor()),
        response_timer_(context.io.get_executor()) {
    context_.open_requests.insert(this);
  }
  ~Relay() override { context_.open_requests.erase(this); }
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// The attempt may have run, and another one would meet the same.
  void OnException() {
    if (stage_ == Stage::kFinished) return;
    if (call_) call_->Cancel();
    context_.placement.Ended(id_, WorkEnd::kCancelled);
    if (progress_.head_sent) return AbortResponse(Errc::kInternal);
    RespondWithFailure(Errc::kInternal, {});
  }

  void Start() {
    caller_ = context_.edge.read_request(exchange_->request());
    table_ = context_.table();
    if (!table_) return Refuse(Errc::kNoConfiguration);
    const auto& request = exchange_->request();
    route_ = table_->Match(caller_.host, request.path);
    if (route_ == nullptr) return Refuse(Errc::kNotFound);
    if (!IdentifyAccount()) return;
    Duration limit = caller_.remaining.value_or(kDefaultDeadline);
    if (route_->timeout > Duration::zero()) {
      limit = std::min(limit, route_->timeout);
    }
    if (limit <= Duration::zero()) return Refuse(Errc::kDeadlineInfeasible);
    deadline_ = arrival_ + limit;
    service_ = ChooseService(*route_, context_.random());
    const RoutedService* service = table_->Service(service_);
    targets_are_engines_ = service != nullptr && service->engine.has_value();
    if (!IsInTimeToStop()) return Refuse(Errc::kDraining);
    subjects_ = Subjects();
    if (IsCondemned()) return Refuse(Errc::kQuarantined);
    id_ = context_.placement.NextId();
    deadline_timer_.Arm(ceil<milliseconds>(limit), weak_from_this(),
                        &Relay::OnDeadline);
    exchange_->OnGone([self = weak_from_this()] {
      if (const auto relay = self.lock()) relay->OnCallerDisconnected();
    });
    self_ = shared_from_this();
    flow_ = std::make_shared<AnswerFlow>(
        context_.answer_budget, [self = weak_from_this()](bool paused) {
          if (const auto relay = self.lock()) relay->SetTargetPaused(paused);
        });
    RequestPlacement();
  }

  void OnStopTick() override {
    const bool may_go_elsewhere = stage_ == Stage::kPlacing &&
                                  progress_.attempts_run == 0 &&
                                  !progress_.head_sent;
    if (!may_go_elsewhere || context_.stop.MaySend(Work(), Now())) return;
    context_.placement.Ended(id_, WorkEnd::kCancelled);
    RespondWithFailure(Errc::kDraining, {});
  }

  void OnStopEnding() override {
    if (stage_ == Stage::kFinished) return;
    LogCut();
    if (call_) {
      call_->Cancel();
      call_.reset();
      if (request_sent_) ++progress_.attempts_run;
    }
    context_.placement.Ended(id_, WorkEnd::kCancelled);
    if (progress_.head_sent) return AbortResponse(Errc::kHostStopped);
    if (stored_answer_) return ForwardStoredAnswer();
    RespondWithFailure(
        progress_.attempts_run == 0 ? Errc::kDraining : Errc::kHostStopped, {});
  }

 private:
  enum class Stage : std::uint8_t {
    kPlacing,
    kReserving,
    kSent,
    kStreaming,
    kFinished
  };

  static const char* ToString(Stage stage) {
    switch (stage) {
      case Stage::kPlacing:
        return "placing";
      case Stage::kReserving:
        return "reserving";
      case Stage::kSent:
        return "sent";
      case Stage::kStreaming:
        return "streaming";
      case Stage::kFinished:
        break;
    }
    return "finished";
  }

  bool IdentifyAccount() {
    const Identity identity = table_->Identify(*route_, caller_.credentials);
    if (identity.refusal != Errc::kOk) {
      Refuse(identity.refusal);
      return false;
    }
    if (identity.holder == nullptr) return true;
    account_ = identity.holder->account;
    priority_ = identity.holder->priority;
    return true;
  }

  // ---- Planned stop ----

  /// What is left of the request's work. Before its target is known, the first
  /// event is expected at the latency objective.
  LateWork Work() const {
    return {deadline_ - Now(), route_->latency_objective + DecodeTime()};
  }

  /// Expected time from the first event of a stream to its end.
  Duration DecodeTime() const {
    if (!StreamsFromEngine()) return {};
    const std::uint32_t likely = caller_.likely_output_tokens > 0
                                     ? caller_.likely_output_tokens
                                     : caller_.max_output_tokens;
    return kDecodeFactor *
           MinDecodeTime(*table_->Service(service_)->engine,
                         caller_.prompt_tokens,
                         std::min(likely, caller_.max_output_tokens));
  }

  /// Decides whether a request that arrives during a stop is accepted.
  bool IsInTimeToStop() const {
    if (!context_.stop.is_stopping()) return true;
    const Time now = Now();
    const LateWork work = Work();
    const bool is_accepted = context_.stop.Accepts(work, now);
    LogLine(Severity::kInfo, Event::kLateRequest)
        .With("request", caller_.id)
        .With("route", route_->name)
        .With("elapsed",
              duration_cast<milliseconds>(context_.stop.Elapsed(now)))
        .With("limit", duration_cast<milliseconds>(work.limit))
        .With("estimate", duration_cast<milliseconds>(work.estimate))
        .With("left",
              duration_cast<milliseconds>(context_.stop.AnswerBy() - now))
        .With("accepted", is_accepted);
    return is_accepted;
  }

  void LogCut() const {
    const Time now = Now();
    const bool is_sent = stage_ == Stage::kSent || stage_ == Stage::kStreaming;
    LogLine(Severity::kWarning, Event::kRequestCut)
        .With("request", caller_.id)
        .With("route", route_->name)
        .With("target", is_sent ? grant_.targets.front().name : TargetName())
        .With("stage", ToString(stage_))
        .With("took", duration_cast<milliseconds>(now - arrival_))
        .With("sent_for",
              is_sent ? duration_cast<milliseconds>(now - attempt_sent_at_)
                      : milliseconds())
        .With("left", duration_cast<milliseconds>(deadline_ - now));
  }

  bool IsCondemned() {
    return context_.crashes.IsCondemned(service_, subjects_, caller_.id,
                                        is_trial_);
  }

  RequestSubjects Subjects() const {
    const auto& request = exchange_->request();
    const auto hash = [](const std::string& text, std::uint64_t seed) {
      return XXH3_64bits_withSeed(text.data(), text.size(), seed);
    };
    RequestSubjects subjects;
    subjects.account = hash(account_.value, 0);
    subjects.request =
        hash(request.body, hash(request.target, subjects.account));
    const std::uint64_t service = hash(service_.value, 0);
    for (const auto part : caller_.shared_parts) {
      subjects.parts.push_back(
          XXH3_64bits_withSeed(&part, sizeof(part), service));
    }
    return subjects;
  }

  // ---- Placement ----

  void RequestPlacement() {
    stage_ = Stage::kPlacing;
    context_.placement.Place(service_, MakeJob(id_, excluded_),
                             [self = weak_from_this()](const PlaceDecision& v) {
                               if (const auto relay = self.lock()) {
                                 relay->OnPlacementDecision(v);
                               }
                             });
  }

  PlaceJob MakeJob(const RequestId& id,
                   std::vector<TargetName> excluded) const {
    PlaceJob job;
    job.id = id;
    job.account = account_;
    job.domain = context_.domain;
    job.stream = StreamsFromEngine();
    job.prompt_tokens = caller_.prompt_tokens;
    job.output_tokens = caller_.max_output_tokens;
    job.priority = priority_.value_or(route_->priority);
    job.arrival = arrival_;
    job.deadline = deadline_;
    job.first_event_deadline = StartBy();
    job.objective = route_->latency_objective;
    job.max_gap = route_->max_gap;
    job.is_retry = progress_.arrivals > 0 || (call_ && request_sent_);
    job.excluded = std::move(excluded);
    return job;
  }

  bool StreamsFromEngine() const {
    return route_->kind == RouteKind::kStream && targets_are_engines_;
  }

  /// Latest time for the first event of this attempt. After it the caller gives
  /// up waiting for an event, or the answer, at the length that the caller
  /// estimated, cannot be complete by the deadline.
  Time StartBy() const {
    const RoutedService* service = table_->Service(service_);
    Time by = deadline_;
    if (StreamsFromEngine() && !progress_.head_sent) {
      by -= MinDecodeTime(
          *service->engine, caller_.prompt_tokens,
          std::min(caller_.likely_output_tokens, caller_.max_output_tokens));
    }
    if (route_->caller_max_gap <= Duration::zero()) return by;
    const Time since = progress_.head_sent ? last_event_at_ : arrival_;
    return std::min(by, since + route_->caller_max_gap);
  }

  void OnPlacementDecision(const PlaceDecision& decision) {
    if (stage_ != Stage::kPlacing) return;
    if (const auto* refusal = std::get_if<PlaceRefusal>(&decision)) {
      return OnPlacementRefused(*refusal);
    }
    grant_ = std::get<PlaceGrant>(decision);
    const Time now = Now();
    if (now >= deadline_) return OnDeadline();
    const LateWork work{deadline_ - now, grant_.estimate + DecodeTime()};
    if (progress_.attempts_run == 0 && !context_.stop.MaySend(work, now)) {
      context_.placement.Ended(id_, WorkEnd::kCancelled);
      return RespondWithFailure(Errc::kDraining, {});
    }
    // The verdict may be younger than the request.
    if (IsCondemned()) {
      context_.placement.Ended(id_, WorkEnd::kCancelled);
      return OnCondemned();
    }
    LogPlaced(now);
    ReserveMemory();
  }

  void LogPlaced(Time now) const {
    const KindStatus list_status = context_.target_list_status
                                       ? context_.target_list_status()
                                       : KindStatus{};
    LogLine(Severity::kInfo, Event::kPlaced)
        .With("request", caller_.id)
        .With("service", service_)
        .With("target", grant_.targets.front().name)
        .With("targets", std::uint64_t{grant_.targets.size()})
        .With("try", std::uint64_t{progress_.attempts + 1})
        .With("waited", duration_cast<milliseconds>(now - arrival_))
        .With("estimate", duration_cast<milliseconds>(grant_.estimate))
        .With("holder", context_.placement.HolderOf(service_))
        .With("prompt_tokens", std::uint64_t{caller_.prompt_tokens})
        .With("entry_version", grant_.targets.front().version.revision)
        .With("list_version", list_status.version.revision)
        .With("era", list_status.version.era)
        .With("list_age",
              duration_cast<milliseconds>(now - list_status.confirmed_at))
        .With("out_of_turns", std::uint64_t{grant_.out_of_permits});
  }

  /// Reserves memory at the helpers for which the grant asks for it, then sends
  /// the request.
  void ReserveMemory() {
    is_target_silent_ = false;
    std::vector<Reservation> requested;
    for (std::size_t i = 1; i < grant_.targets.size(); ++i) {
      const auto& target = grant_.targets[i];
      if (target.reserve_tokens == 0) continue;
      requested.push_back({target, comfreyflow::ToString(
                                       AttemptId{id_, ++reservation_count_})});
    }
    if (requested.empty()) return Send(Now());
    stage_ = Stage::kReserving;
    requested_reservations_ = requested;
    reservations_ = std::make_unique<Reservations>(
        context_.io, context_.paths, context_.edge, std::move(requested),
        service_, caller_.id,
        [self = weak_from_this()](const PlacedTarget& target,
                                  const TargetHead& report) {
          if (const auto relay = self.lock())
            relay->ApplyTargetReport(target, report);
        });
    reservations_->Acquire(
        [self = weak_from_this()](const TargetName& refused) {
          const auto relay = self.lock();
          if (!relay || relay->stage_ != Stage::kReserving) return;
          relay->context_.metrics.Reserved(refused.value.empty());
          if (!refused.value.empty())
            return relay->OnReservationFailed(refused);
          relay->SendAfterReservation();
        });
  }

  /// Sends the request unless a granted target became unavailable meanwhile.
  void SendAfterReservation() {
    const auto unfit = context_.placement.FindUnfitTarget(service_, grant_);
    if (unfit) return OnReservationFailed(*unfit);
    Send(Now());
  }

  void OnCondemned() {
    if (progress_.head_sent) return AbortResponse(Errc::kQuarantined);
    if (stored_answer_) return ForwardStoredAnswer();
    RespondWithFailure(Errc::kQuarantined, {});
  }

  /// Requests another grant. The request has not been sent to any target.
  void OnReservationFailed(const TargetName& refused) {
    EndReservations();
    context_.placement.Ended(id_, WorkEnd::kCancelled);
    excluded_.push_back(refused);
    if (parked_) {
      ReturnToParked();
      return ArmResponseTimer(attempt_started_);
    }
    RequestPlacement();
  }

  void EndReservations() {
    reservations_.reset();
    requested_reservations_.clear();
  }

  void OnPlacementRefused(const PlaceRefusal& refusal) {
    if (stored_answer_) return ForwardStoredAnswer();
    if (progress_.head_sent) return AbortResponse(refusal.code);
    if (progress_.attempts_run == 0) {
      return RespondWithFailure(refusal.code, refusal.retry_after);
    }
    RespondWithFailure(last_failure_, {});
  }

  // ---- Attempt at a target ----

  void Send(Time now) {
    if (++progress_.attempts > 1) context_.metrics.Retried();
    context_.metrics.QueueWait(now - arrival_);
    attempt_started_ = false;
    attempt_proven_ = false;
    request_sent_ = false;
    target_head_ = {};
    target_response_ = {};
    answer_ = {};
    is_garbled_ = false;
    body_.clear();
    StartRun();
    stage_ = progress_.head_sent ? Stage::kStreaming : Stage::kSent;
    attempt_sent_at_ = now;
    http::CallOptions options;
    options.connect_timeout = kConnectTimeout;
    options.progress_timeout =
        ceil<milliseconds>(deadline_ - now) + std::chrono::seconds(1);
    if (!Repeatable(*route_)) options.idle_limit = kNonRetryableIdleLimit;
    options.id = caller_.id;
    // `flow_` bounds what is held of it.
    options.answer_bytes = std::numeric_limits<std::uint64_t>::max();
    // A silent target may keep the request, but not the memory of helpers if
    // its machine is gone.
    options.probe_silence = !requested_reservations_.empty();
    const PlacedTarget& target = grant_.targets.front();
    call_ = context_.paths.Open(
        {service_, target.name, target.address, caller_.id,
         [self = weak_from_this(), forward = MakeForwardHead()]() mutable {
           const auto relay = self.lock();
           if (!relay || !relay->exchange_) return http::Request{};
           forward.remaining = relay->deadline_ - Now();
           return relay->context_.edge.write_request(
               relay->exchange_->request(), forward);
         }},
        options, MakeCallHooks());
    if (Repeatable(*route_)) ArmResponseTimer(false);
  }

  ForwardHead MakeForwardHead() const {
    ForwardHead forward;
    forward.target = grant_.targets.front().name.value;
    forward.account = account_.value;
    forward.urgency = std::min<int>(
        static_cast<int>(priority_.value_or(route_->priority)) + 1,
        kMaxUrgency);
    for (std::size_t i = 1; i < grant_.targets.size(); ++i) {
      const auto& target = grant_.targets[i];
      const auto held = std::find_if(requested_reservations_.begin(),
                                     requested_reservations_.end(),
                                     [&target](const Reservation& r) {
                                       return r.target.name == target.name;
                                     });
      forward.helpers.push_back(
          {target.address,
           held == requested_reservations_.end() ? "" : held->id});
    }
    forward.last_event_id = splitter_.last_id().empty() ? caller_.last_event_id
                                                        : splitter_.last_id();
    return forward;
  }

  http::CallHooks MakeCallHooks() {
    const std::uint64_t number = ++attempts_opened_;
    attempt_number_ = number;
    const auto guarded = [self = weak_from_this(), number](auto action) {
      const auto relay = self.lock();
      if (!relay || relay->stage_ == Stage::kFinished) return;
      if (relay->IsParked(number)) relay->ReturnToParked();
      if (relay->attempt_number_ != number) return;
      try {
        action(*relay);
      } catch (...) {
        relay->OnException();
        throw;
      }
    };
    http::CallHooks hooks;
    hooks.on_sent = [self = weak_from_this(), number] {
      if (const auto relay = self.lock()) relay->OnSent(number);
    };
    hooks.owner = [self = weak_from_this()](const http::Response& head) {
      const auto relay = self.lock();
      return relay ? relay->OwnerOfAnswer(head) : http::AnswerOwner::kUnnamed;
    };
    hooks.on_head = [guarded](const http::Response& head) {
      guarded([&head](Relay& relay) { relay.OnHead(head); });
    };
    hooks.on_body = [guarded](std::string_view bytes) {
      guarded([bytes](Relay& relay) { relay.OnBody(bytes); });
    };
    hooks.on_end = [guarded, self = weak_from_this(),
                    number](http::CallEnd end) {
      const auto relay = self.lock();
      if (relay && end.code != Errc::kOk && relay->IsParked(number)) {
        return relay->OnParkedBroken(end);
      }
      guarded([end](Relay& relay) { relay.OnCallEnd(end); });
    };
    return hooks;
  }

  /// Called again for an attempt that goes on over another host.
  void OnSent(std::uint64_t number) {
    if (attempt_number_ == number && !std::exchange(request_sent_, true)) {
      RecordSent(grant_);
    }
    if (IsParked(number) && !std::exchange(parked_->is_sent, true)) {
      ++progress_.attempts_run;
      RecordSent(parked_->grant);
    }
  }

  void RecordSent(const PlaceGrant& grant) {
    if (!sent_to_.empty()) sent_to_ += ',';
    sent_to_ += grant.targets.front().name.value;
  }

  http::AnswerOwner OwnerOfAnswer(const http::Response& head) const {
    return OwnerOf(context_.edge.read_head(head), caller_.id);
  }

  void OnHead(const http::Response& head) {
    target_head_ = context_.edge.read_head(head);
    target_response_ = head;
    const bool success = IsSuccess();
    // Events are passed on before the answer has ended.
    const bool is_stream =
        success && target_head_.event_stream &&
        http::MayHaveBody(exchange_->request().method, head.status);
    if (is_stream && target_head_.request_id != caller_.id) {
      return OnAttemptFailed(WorkEnd::kGarbled, Errc::kTargetFailed);
    }
    is_event_stream_ = is_stream && target_head_.authentic;
    ApplyTargetReport(grant_.targets.front(), target_head_);
    const bool names_limit =
        target_head_.rate_limit || target_head_.rate_limit_unreadable;
    if (success && target_head_.authentic && !names_limit) {
      context_.placement.NoLimitReported(service_, grant_.targets.front(),
                                         attempt_sent_at_, caller_.id);
    }
    if (!targets_are_engines_ || !is_event_stream_)
      context_.placement.Started(id_);
    if (!is_event_stream_ && IsSuccess()) OnProgress();
  }

  /// Applies what a target reports about itself in the head of an answer,
  /// without waiting for the body.
  void ApplyTargetReport(const PlacedTarget& target, const TargetHead& report) {
    if (report.leaving) {
      context_.target_left({target.name, target.born, target.version, {}},
                           caller_.id);
      // A different target answered at that address.
      if (report.misdirected && report.at_fault != target.name.value) {
        context_.target_left({{report.at_fault}, 0, {}, target.address},
                             caller_.id);
      }
    }
    ApplyRateLimit(target, report);
    if (!report.back_off && !report.back_off_unreadable) return;
    const Duration back_off = report.back_off.value_or(Duration::zero());
    LogLine(report.back_off_unreadable ? Severity::kWarning : Severity::kInfo,
            Event::kTargetRests)
        .With("request", caller_.id)
        .With("target", target.name)
        .With("born", target.born)
        .With("rest", duration_cast<milliseconds>(back_off))
        .With("unreadable", report.back_off_unreadable);
    context_.placement.BackOffReported(service_, target, back_off);
  }

  void ApplyRateLimit(const PlacedTarget& target, const TargetHead& report) {
    if (report.rate_limit_unreadable) {
      LogLine(Severity::kWarning, Event::kTargetLimited)
          .With("request", caller_.id)
          .With("service", service_)
          .With("target", target.name)
          .With("born", target.born)
          .With("unreadable", true);
    }
    if (!report.rate_limit) return;
    const bool from_other_target = report.misdirected &&
                                   !report.at_fault.empty() &&
                                   report.at_fault != target.name.value;
    if (!from_other_target) {
      return context_.placement.LimitReported(service_, target,
                                              *report.rate_limit, caller_.id);
    }
    // A different target answered at that address.
    const auto listed =
        context_.placement.FindListed({report.at_fault}, target.address);
    if (!listed) return;
    context_.placement.LimitReported(listed->service, listed->target,
                                     *report.rate_limit, caller_.id);
  }

  void OnBody(std::string_view bytes) {
    last_byte_at_ = Now();
    if (!is_event_stream_) return OnPlainBody(bytes);
    const std::string events = splitter_.Feed(bytes);
    if (!events.empty()) OnEvents(events);
    if (splitter_.is_refused()) return OnRunRefused();
    if (splitter_.too_long()) {
      OnAttemptFailed(WorkEnd::kGarbled, Errc::kTargetFailed);
    }
  }

  /// The target does not continue the stream where the caller's events end.
  void OnRunRefused() {
    constexpr std::size_t kMaxLoggedId = 64;
    LogLine(Severity::kWarning, Event::kResumeRefused)
        .With("request", caller_.id)
        .With("target", grant_.targets.front().name)
        .With("last_id", splitter_.last_id().substr(0, kMaxLoggedId))
        .With("next_id", splitter_.refused_id().substr(0, kMaxLoggedId))
        .With("try", std::uint64_t{progress_.attempts});
    OnAttemptFailed(WorkEnd::kGarbled, Errc::kTargetFailed);
  }

  bool IsSuccess() const {
    return target_head_.status >= 200 && target_head_.status < 300;
  }

  void OnPlainBody(std::string_view bytes) {
    if (IsSuccess()) OnProgress();
    if (Repeatable(*route_)) ArmResponseTimer(false);
    if (forwards_plain_) return flow_->Write(exchange_, std::string(bytes));
    body_ += bytes;
    const std::size_t stored = stored_answer_ ? stored_answer_->body.size() : 0;
    const bool fits = flow_->Keep(body_.capacity() + stored);
    if (fits && body_.size() <= kMaxBufferedAnswerBytes) return;
    const bool is_verified = !progress_.head_sent && target_head_.authentic &&
                             target_head_.request_id == caller_.id &&
                             !target_head_.reported_not_run;
    if (!fits) LogAnswerMemory(is_verified ? "passed_on" : "dropped");
    if (!is_verified)
      return OnAttemptFailed(WorkEnd::kGarbled, Errc::kTargetFailed);
    ForwardLargeAnswer();
  }

  void OnEvents(const std::string& events) {
    OnProgress();
    RecordEventGap();
    if (!attempt_started_) {
      attempt_started_ = true;
      attempt_started_at_ = last_event_at_;
      context_.placement.Started(id_);
    } else if (!attempt_proven_ && HasProvenSound()) {
      attempt_proven_ = true;
      context_.crashes.OnAnswered(subjects_);
    }
    ArmResponseTimer(true);
    ForwardEvents(events);
  }

  node::LengthClass Length() const {
    return node::ClassOf(caller_.prompt_tokens);
  }

  void RecordEventGap() {
    const Time now = Now();
    if (progress_.head_sent) {
      context_.metrics.BetweenTokens(Length(), now - last_event_at_);
    }
    longest_gap_ = progress_.head_sent
                       ? std::max(longest_gap_, now - last_event_at_)
                       : Duration::zero();
    last_event_at_ = now;
  }

  void ForwardEvents(const std::string& events) {
    if (!progress_.head_sent) {
      progress_.head_sent = true;
      stage_ = Stage::kStreaming;
      first_event_after_ = Now() - arrival_;
      context_.metrics.FirstToken(Length(), first_event_after_);
      exchange_->StartStream(context_.edge.write_head(target_response_));
    }
    flow_->Write(exchange_, events);
  }

  /// Reads the answer no further while its caller takes none of it. The target
  /// is not silent meanwhile.
  void SetTargetPaused(bool paused) {
    if (!call_) return;
    if (paused) {
      if (!std::exchange(was_paused_, true)) LogAnswerMemory("paused");
      call_->Pause();
      return response_timer_.Disarm();
    }
    call_->Resume();
    if (is_event_stream_ || Repeatable(*route_)) {
      ArmResponseTimer(attempt_started_);
    }
  }

  void LogAnswerMemory(const char* action) const {
    LogLine(Severity::kInfo, Event::kAnswerMemory)
        .With("request", caller_.id)
        .With("target", grant_.targets.front().name)
        .With("action", action)
        .With("unwritten", flow_->unwritten())
        .With("used", context_.answer_budget->used())
        .With("limit", context_.answer_budget->limit());
  }

  /// Forwards an answer that is too large to buffer as it arrives.
  void ForwardLargeAnswer() {
    progress_.head_sent = true;
    forwards_plain_ = true;
    stage_ = Stage::kStreaming;
    exchange_->StartStream(context_.edge.write_head(target_response_));
    flow_->Write(exchange_, std::exchange(body_, {}));
  }

  void OnCallEnd(const http::CallEnd& end) {
    call_.reset();
    answer_ = end.answer;
    is_garbled_ = end.is_garbled;
    if (end.code != Errc::kOk) request_sent_ = end.sent;
    if (end.code != Errc::kOk)
      return OnAttemptFailed(WorkEndOf(end.code), end.code);
    if (is_event_stream_) return OnStreamEnd();
    OnAnswerEnd();
  }

  static WorkEnd WorkEndOf(Errc code) {
    switch (code) {
      case Errc::kTargetUnreachable:
        return WorkEnd::kUnreachable;
      case Errc::kTargetUnresponsive:
        return WorkEnd::kTimedOut;
      case Errc::kOverloaded:  // No host could send it to the target.
      case Errc::kMalformedRequest:
        return WorkEnd::kCancelled;
      default:
        return WorkEnd::kBroken;
    }
  }

  void OnStreamEnd() {
    if (!splitter_.at_event_boundary() || !progress_.head_sent) {
      return OnAttemptFailed(WorkEnd::kGarbled, Errc::kTargetFailed);
    }
    std::string comments = splitter_.TakeUnfinished();
    if (!comments.empty()) exchange_->Write(std::move(comments));
    context_.crashes.OnAnswered(subjects_);
    context_.placement.Ended(id_, WorkEnd::kDone);
    exchange_->End();
    Finish(Errc::kOk);
  }

  /// Whether the answer can be about no other request and no earlier arrival of
  /// this one.
  bool IsProven() const { return answer_.is_own && !answer_.is_id_reused; }

  void OnAnswerEnd() {
    const bool is_refusal =
        target_head_.reported_not_run || target_head_.misdirected;
    // What may answer another request, or refuse an earlier arrival of this
    // one, says nothing about this arrival. A request that may run twice goes
    // elsewhere after a refusal, whosever that is.
    const bool is_believed = is_refusal ? IsProven() : answer_.is_own;
    if (!is_believed && !(is_refusal && Repeatable(*route_))) {
      return OnAttemptFailed(WorkEnd::kGarbled, Errc::kTargetFailed);
    }
    if (is_refusal) {
      return OnAttemptFailed(RefusalEnd(), is_believed ? Errc::kTargetRefused
                                                       : Errc::kTargetFailed);
    }
    const bool success = IsSuccess();
    if (success &&
        (!target_head_.authentic || target_head_.request_id != caller_.id)) {
      return OnAttemptFailed(WorkEnd::kGarbled, Errc::kTargetFailed);
    }
    if (target_head_.status >= kServerErrors) {
      if (progress_.head_sent) {
        return OnAttemptFailed(WorkEnd::kTargetError, Errc::kTargetFailed);
      }
      if (target_head_.authentic) {
        stored_answer_ = context_.edge.write_head(target_response_);
        stored_answer_->body = std::move(body_);
      }
      return OnAttemptFailed(WorkEnd::kTargetError, Errc::kTargetFailed);
    }
    // An answer that is no stream can't continue one.
    if (progress_.head_sent && !forwards_plain_)
      return OnAttemptFailed(WorkEnd::kGarbled, Errc::kTargetFailed);
    context_.crashes.OnAnswered(subjects_);
    if (progress_.head_sent) {
      context_.placement.Ended(id_, WorkEnd::kDone);
      exchange_->End();
      return Finish(Errc::kOk);
    }
    context_.placement.Ended(id_, WorkEnd::kDone);
    context_.metrics.Answered(Repeatable(*route_), Now() - arrival_);
    http::Response answer = context_.edge.write_head(target_response_);
    answer.body = std::move(body_);
    answer.lease = flow_->lease();
    exchange_->Respond(std::move(answer));
    Finish(Errc::kOk);
  }

  /// What a refusal says of the target. A target that turns a request away in
  /// its own name is sound, and may serve others.
  WorkEnd RefusalEnd() const {
    if (!target_head_.misdirected) return WorkEnd::kRefused;
    const std::string& name = target_head_.at_fault;
    const bool is_from_other =
        !name.empty() &&
        std::none_of(grant_.targets.begin(), grant_.targets.end(),
                     [&name](const PlacedTarget& target) {
                       return target.name.value == name;
                     });
    return is_from_other ? WorkEnd::kWrongTarget : WorkEnd::kUnsuited;
  }

  AttemptFailure MakeFailure(bool reported_not_run) const {
    AttemptFailure failure;
    failure.sent = request_sent_;
    failure.reported_not_run = reported_not_run;
    failure.may_resume = Repeatable(*route_) && route_->resumable &&
                         (!progress_.head_sent || splitter_.can_resume());
    return failure;
  }

  void OnAttemptFailed(WorkEnd end, Errc code) {
    CancelSecondPlacement();
    if (call_) call_->Cancel();
    call_.reset();
    EndReservations();
    attempt_number_ = 0;
    response_timer_.Disarm();
    std::string().swap(body_);
    if (!stored_answer_) flow_->Drop();
    const bool is_refusal = end == WorkEnd::kRefused ||
                            end == WorkEnd::kWrongTarget ||
                            end == WorkEnd::kUnsuited;
    const AttemptFailure failure = MakeFailure(is_refusal && IsProven());
    if (failure.sent) ++progress_.arrivals;
    if (failure.sent && !failure.reported_not_run) ++progress_.attempts_run;
    if (failure.reported_not_run || !failure.sent) code = Errc::kTargetRefused;
    last_failure_ = code;
    progress_.remaining = deadline_ - Now();
    splitter_.DropUnfinished();
    const bool was_suspect = context_.crashes.IsSuspect(subjects_);
    RecordCrash(end);
    const NextStep next = AfterFailure(*route_, failure, progress_);
    cause_ = CauseOf(failure);
    LogTryFailed(end, failure, next);
    context_.placement.Ended(id_, end, cause_);
    if (parked_) {
      excluded_.push_back(cause_);
      ReturnToParked();
      return ArmResponseTimer(attempt_started_);
    }
    TakeNextStep(next, code,
                 was_suspect && end == WorkEnd::kBroken && !is_garbled_);
  }

  void LogTryFailed(WorkEnd end, const AttemptFailure& failure,
                    NextStep next) const {
    LogLine(Severity::kWarning, Event::kTryFailed)
        .With("request", caller_.id)
        .With("target", grant_.targets.front().name)
        .With("cause", cause_)
        .With("end", comfreyflow::ToString(end))
        .With("status",
              static_cast<std::uint64_t>(std::max(0, target_head_.status)))
        .With("sent", request_sent_)
        .With("not_run", failure.reported_not_run)
        .With("named", !target_head_.request_id.empty())
        .With("own", answer_.is_own)
        .With("id_reused", answer_.is_id_reused)
        .With("earlier_calls", std::uint64_t{answer_.earlier_calls})
        .With("skipped", std::uint64_t{answer_.skipped})
        .With("head_sent", progress_.head_sent)
        .With("begun", attempt_started_)
        .With("sent_for", duration_cast<milliseconds>(Now() - attempt_sent_at_))
        .With("account", account_)
        .With("parts", ToHexList(subjects_.parts))
        .With("try", std::uint64_t{progress_.attempts})
        .With("next", static_cast<std::uint64_t>(next));
  }

  /// The granted target that the refusal names, otherwise the first one.
  TargetName CauseOf(const AttemptFailure& failure) const {
    if (failure.reported_not_run) {
      for (const auto& target : grant_.targets) {
        if (target.name.value == target_head_.at_fault) return target.name;
      }
    }
    return grant_.targets.front().name;
  }

  /// Whether the target has written this answer for long enough to show that
  /// the request does not crash it.
  bool HasProvenSound() const {
    return attempt_started_ && Now() - attempt_started_at_ >= kProofTime;
  }

  void RecordCrash(WorkEnd end) {
    if (end != WorkEnd::kBroken || !request_sent_ || is_garbled_) return;
    RecordCrashAt(grant_.targets.front(), HasProvenSound());
  }

  void RecordCrashAt(const PlacedTarget& target, bool is_proven) {
    is_trial_ = false;
    context_.crashes.OnConnectionBroken(service_, target, subjects_, is_proven);
  }

  void TakeNextStep(NextStep next, Errc code, bool may_crash_again) {
    switch (next) {
      case NextStep::kRetry:
        if (may_crash_again || IsCondemned()) {
          return progress_.head_sent ? AbortResponse(code)
                                     : RespondWithFailure(code, {});
        }
        excluded_.push_back(cause_);
        return RequestPlacement();
      case NextStep::kAnswerNotRun:
        return RespondWithFailure(Errc::kTargetRefused, {});
      case NextStep::kAnswerFailed:
        if (stored_answer_) return ForwardStoredAnswer();
        return RespondWithFailure(code, {});
      case NextStep::kAbort:
        return AbortResponse(code);
    }
  }

  // ---- Timers ----

  void ArmResponseTimer(bool started) {
    const Duration limit = StallTimeout(*route_, started, grant_.estimate);
    response_timer_.Arm(ceil<milliseconds>(limit), weak_from_this(),
                        &Relay::OnTargetTimeout);
  }

  /// The target has sent nothing for longer than usual, but may be sound.
  /// Another target is requested if one may run the request, and this attempt
  /// goes on until one is granted.
  void OnTargetTimeout() {
    if (stage_ != Stage::kSent && stage_ != Stage::kStreaming) return;
    if (!call_ || second_placement_) return;
    if (SendsOnlyNoise()) {
      return OnAttemptFailed(WorkEnd::kTimedOut, Errc::kTargetUnresponsive);
    }
    if (!std::exchange(is_target_silent_, true)) {
      // Other requests are not to be sent there meanwhile.
      context_.placement.Ended(id_, WorkEnd::kTimedOut,
                               grant_.targets.front().name);
    }
    const bool may_retry = !parked_ && MayRetryAfterSilence();
    LogLine(Severity::kWarning, Event::kTargetSilent)
        .With("request", caller_.id)
        .With("target", grant_.targets.front().name)
        .With("head_sent", progress_.head_sent)
        .With("begun", attempt_started_)
        .With("sent_for", duration_cast<milliseconds>(Now() - attempt_sent_at_))
        .With("try", std::uint64_t{progress_.attempts})
        .With("elsewhere", may_retry);
    if (may_retry) RequestSecondPlacement();
  }

  /// Whether bytes that make no event have come until lately. A target that
  /// does that is not silent, and not sound.
  bool SendsOnlyNoise() const {
    const Duration limit =
        StallTimeout(*route_, attempt_started_, grant_.estimate);
    return is_event_stream_ && Now() - last_byte_at_ < limit / 2;
  }

  bool MayRetryAfterSilence() {
    const AttemptFailure failure = MakeFailure(false);
    RelayProgress progress = progress_;
    if (failure.sent) ++progress.attempts_run;
    progress.remaining = deadline_ - Now();
    return AfterFailure(*route_, failure, progress) == NextStep::kRetry &&
           !IsCondemned();
  }

  void RequestSecondPlacement() {
    second_placement_ = context_.placement.NextId();
    std::vector<TargetName> excluded = excluded_;
    excluded.push_back(grant_.targets.front().name);
    context_.placement.Place(
        service_, MakeJob(*second_placement_, std::move(excluded)),
        [self = weak_from_this()](const PlaceDecision& decision) {
          if (const auto relay = self.lock()) {
            relay->OnSecondPlacementDecision(decision);
          }
        });
  }

  void OnSecondPlacementDecision(const PlaceDecision& decision) {
    if (!second_placement_) return;
    // The end of the current attempt may have freed the granted target.
    if (!call_) return CancelSecondPlacement();
    if (const auto* refusal = std::get_if<PlaceRefusal>(&decision)) {
      second_placement_.reset();
      LogLine(Severity::kInfo, Event::kSilenceBorne)
          .With("request", caller_.id)
          .With("target", grant_.targets.front().name)
          .With(refusal->code);
      return ArmResponseTimer(attempt_started_);
    }
    const auto& grant = std::get<PlaceGrant>(decision);
    const Time now = Now();
    const LateWork work{deadline_ - now, grant.estimate + DecodeTime()};
    if (!MayRetryAfterSilence() || !context_.stop.MaySend(work, now)) {
      return CancelSecondPlacement();
    }
    SendBeside(grant, now);
  }

  /// Sends the request to the granted target, too. The silent one keeps it
  /// until the other one answers.
  void SendBeside(const PlaceGrant& grant, Time now) {
    id_ = *second_placement_;
    second_placement_.reset();
    response_timer_.Disarm();
    excluded_.push_back(grant_.targets.front().name);
    if (request_sent_) {
      ++progress_.attempts_run;
      ++progress_.arrivals;
    }
    parked_.emplace();
    SwapParked();
    parked_->unfinished = splitter_.TakeUnfinished();
    last_failure_ = Errc::kTargetUnresponsive;
    attempt_number_ = 0;
    grant_ = grant;
    LogPlaced(now);
    ReserveMemory();
  }

  bool IsParked(std::uint64_t number) const {
    return parked_ && parked_->number == number;
  }

  /// Exchanges the state of the current attempt with that in `parked_`.
  void SwapParked() {
    ParkedAttempt& parked = *parked_;
    std::swap(attempt_number_, parked.number);
    std::swap(grant_, parked.grant);
    std::swap(reservations_, parked.reservations);
    std::swap(requested_reservations_, parked.requested_reservations);
    std::swap(call_, parked.call);
    std::swap(attempt_sent_at_, parked.sent_at);
    std::swap(request_sent_, parked.is_sent);
    std::swap(attempt_started_, parked.has_started);
    std::swap(attempt_started_at_, parked.started_at);
    std::swap(attempt_proven_, parked.is_proven);
    std::swap(is_event_stream_, parked.is_event_stream);
    std::swap(target_head_, parked.head);
    std::swap(target_response_, parked.response);
    std::swap(body_, parked.body);
    std::swap(answer_, parked.answer);
  }

  /// The silent target goes on, or the other one failed.
  void ReturnToParked() {
    context_.placement.Ended(id_, WorkEnd::kCancelled);
    if (call_) {
      call_->Cancel();
      if (request_sent_) ++progress_.attempts_run;
    }
    SwapParked();
    const std::string unfinished = std::move(parked_->unfinished);
    parked_.reset();
    if (request_sent_) --progress_.attempts_run;
    is_target_silent_ = true;
    stage_ = progress_.head_sent ? Stage::kStreaming : Stage::kSent;
    StartRun();
    splitter_.Feed(unfinished);
    LogLine(Severity::kInfo, Event::kSilenceBorne)
        .With("request", caller_.id)
        .With("target", grant_.targets.front().name)
        .With(last_failure_);
  }

  void OnParkedBroken(const http::CallEnd& end) {
    const bool is_broken =
        WorkEndOf(end.code) == WorkEnd::kBroken && !end.is_garbled;
    if (is_broken && parked_->is_sent) {
      RecordCrashAt(parked_->grant.targets.front(), parked_->is_proven);
    }
    DropParked();
  }

  void DropParked() {
    if (!parked_) return;
    if (parked_->call) parked_->call->Cancel();
    parked_.reset();
  }

  void StartRun() {
    const bool may_resume = Repeatable(*route_) && route_->resumable;
    splitter_.StartRun(may_resume ? caller_.last_event_id : "");
  }

  void CancelSecondPlacement() {
    if (!second_placement_) return;
    context_.placement.Ended(*second_placement_, WorkEnd::kCancelled);
    second_placement_.reset();
  }

  /// The target sent something that the caller waits for.
  void OnProgress() {
    is_target_silent_ = false;
    CancelSecondPlacement();
    DropParked();
  }

  void OnDeadline() {
    if (stage_ == Stage::kFinished) return;
    const bool attempt_in_progress = call_ != nullptr;
    if (attempt_in_progress) {
      call_->Cancel();
      call_.reset();
      if (request_sent_) ++progress_.attempts_run;
    }
    if (stage_ == Stage::kPlacing || stage_ == Stage::kReserving ||
        attempt_in_progress) {
      context_.placement.Ended(id_, WorkEnd::kCancelled);
    }
    if (progress_.head_sent) return AbortResponse(Errc::kDeadlineExceeded);
    if (stored_answer_) return ForwardStoredAnswer();
    RespondWithFailure(progress_.attempts_run == 0 ? Errc::kQueueTimeout
                                                   : Errc::kDeadlineExceeded,
                       {});
  }

  void OnCallerDisconnected() {
    if (stage_ == Stage::kFinished) return;
    if (call_) call_->Cancel();
    call_.reset();
    context_.placement.Ended(id_, WorkEnd::kCancelled);
    Finish(Errc::kCancelled);
  }

  // ---- Final answers ----

  /// Answers a request that was not admitted.
  void Refuse(Errc code) {
    exchange_->Respond(
        context_.edge.write_failure(code, RetryAfter(code), caller_.id));
    Finish(code);
  }

  /// While a host has no configuration its callers are asked to retry later,
  /// with random delays so that they do not all return at once.
  Duration RetryAfter(Errc code) {
    if (code != Errc::kNoConfiguration) return {};
    std::uniform_int_distribution<Duration::rep> spread(
        kNoConfigurationRetry.count(), 2 * kNoConfigurationRetry.count());
    return Duration(spread(context_.random));
  }

  /// Answers with `code`. A code that promises that no target ran the request
  /// is replaced if one may have run it.
  void RespondWithFailure(Errc code, Duration retry_after) {
    const bool promises_not_run = Info(code).outcome == Outcome::kNotRun;
    if (progress_.attempts_run > 0 && promises_not_run)
      code = Errc::kTargetFailed;
    exchange_->Respond(
        context_.edge.write_failure(code, retry_after, caller_.id));
    Finish(code);
  }

  void ForwardStoredAnswer() {
    stored_answer_->lease = flow_->lease();
    exchange_->Respond(std::move(*stored_answer_));
    Finish(Errc::kTargetFailed);
  }

  void AbortResponse(Errc code) {
    exchange_->Abort();
    Finish(code);
  }

  void Finish(Errc code) {
    stage_ = Stage::kFinished;
    CancelSecondPlacement();
    DropParked();
    EndReservations();
    attempt_number_ = 0;
    deadline_timer_.Cancel();
    response_timer_.Cancel();
    context_.metrics.Finished(code);
    const auto severity =
        code == Errc::kOk ? Severity::kInfo : Severity::kWarning;
    LogLine line(severity, Event::kRequestEnded);
    line.With("request", caller_.id)
        .With("route", route_ != nullptr ? route_->name : std::string())
        .With("service", service_)
        .With("version", table_ ? table_->document().version : 0)
        .With("account", account_)
        .With(code)
        .With("prompt_tokens", std::uint64_t{caller_.prompt_tokens})
        .With("tries", std::uint64_t{progress_.attempts})
        .With("sent_to", sent_to_)
        .With("ran", std::uint64_t{progress_.attempts_run})
        .With("events", std::uint64_t{splitter_.events()})
        .With("first_event", duration_cast<milliseconds>(first_event_after_))
        .With("longest_pause", duration_cast<milliseconds>(longest_gap_))
        .With("took", duration_cast<milliseconds>(Now() - arrival_))
        .With("objective",
              duration_cast<milliseconds>(
                  route_ != nullptr ? route_->latency_objective : Duration()))
        .With("max_gap", duration_cast<milliseconds>(
                             route_ != nullptr ? route_->max_gap : Duration()));
    const bool was_sent_again = sent_to_.find(',') != std::string::npos;
    if (was_sent_again && !Repeatable(*route_)) line.PastBudget();
    exchange_.reset();
    self_.reset();
  }

  RelayContext& context_;
  http::ExchangePtr exchange_;
  /// Keeps the relay alive until the final answer.
  std::shared_ptr<Relay> self_;
  CallerRequest caller_;
  std::shared_ptr<const RouteTable> table_;
  const Route* route_ = nullptr;  ///< Points into `table_`.
  AccountName account_;
  /// Sent though connections broke under the same request; until one breaks
  /// again.
  bool is_trial_ = false;
  std::optional<std::uint32_t> priority_;
  ServiceName service_;
  /// The service's targets are batching engines.
  bool targets_are_engines_ = false;
  RequestSubjects subjects_;
  RequestId id_;
  const Time arrival_;
  Time deadline_;
  Duration first_event_after_{};
  Duration longest_gap_{};  ///< Between events sent to the caller.
  Time last_event_at_;
  http::detail::LazyTimer deadline_timer_;
  http::detail::LazyTimer response_timer_;
  Stage stage_ = Stage::kPlacing;
  RelayProgress progress_;
  std::vector<TargetName> excluded_;
  std::string sent_to_;  ///< Targets, in the order of the sends; for the log.
  std::shared_ptr<AnswerFlow> flow_;
  bool was_paused_ = false;  ///< The target was, for this request.
  Errc last_failure_ = Errc::kTargetFailed;
  /// A target's error response, forwarded if no later attempt succeeds.
  std::optional<http::Response> stored_answer_;

  std::optional<ParkedAttempt> parked_;

  // The current attempt.
  PlaceGrant grant_;
  std::unique_ptr<Reservations> reservations_;
  /// The reservations that `reservations_` holds or requests.
  std::vector<Reservation> requested_reservations_;
  std::uint32_t reservation_count_ = 0;
  std::shared_ptr<http::Call> call_;
  std::uint64_t attempts_opened_ = 0;
  /// Of the current attempt; hooks of others are ignored. 0: none.
  std::uint64_t attempt_number_ = 0;
  Time attempt_sent_at_;
  Time last_byte_at_;              ///< Of the answer's body.
  bool is_target_silent_ = false;  ///< It has sent nothing for long.
  /// Requested beside the current attempt while its target is silent.
  std::optional<RequestId> second_placement_;
  bool request_sent_ = false;
  bool attempt_started_ = false;
  Time attempt_started_at_;      ///< When its first event arrived.
  bool attempt_proven_ = false;  ///< The target wrote for a while.
  bool is_event_stream_ = false;
  bool forwards_plain_ = false;  ///< A large answer is forwarded unbuffered.
  TargetName cause_;             ///< Target that caused the last failure.
  TargetHead target_head_;
  http::Response target_response_;
  http::AnswerProof answer_;
  bool is_garbled_ = false;  ///< As `http::CallEnd::is_garbled`.
  std::string body_;
  EventSplitter splitter_;
};

}  // namespace

void StartRelay(RelayContext& context, http::ExchangePtr exchange) {
  const auto relay = std::make_shared<Relay>(context, std::move(exchange));
  try {
    relay->Start();
  } catch (...) {
    relay->OnException();
    throw;
  }
}

}  // namespace comfreyflow::gateway
