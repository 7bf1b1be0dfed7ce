// The way of one request.
#include "gateway/relay.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "comfreyflow/event-splitter.h"
#include "comfreyflow/relay-policy.h"
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

/// Of a request whose caller and route name no limit.
constexpr Duration kDefaultDeadline = std::chrono::seconds(30);
constexpr std::chrono::milliseconds kConnectTimeout{500};
/// Connections that were idle for longer are not trusted with a request that
/// must not be repeated.
constexpr std::chrono::milliseconds kUnsafeIdleLimit{1500};
/// Answers up to this size are passed on whole, so that none looks complete
/// that is not.
constexpr std::size_t kWholeAnswerBytes = 1024 * 1024;
constexpr int kServerErrors = 500;
/// Least time after which a caller finds a host with configuration again.
constexpr Duration kNoConfigurationRetry = std::chrono::seconds(1);
/// Urgency on the wire of a route's priority.
constexpr int kUrgencySteps = 9;

class Relay : public std::enable_shared_from_this<Relay> {
 public:
  Relay(RelayContext& context, http::ExchangePtr exchange)
      : context_(context),
        exchange_(std::move(exchange)),
        arrival_(Now()),
        deadline_timer_(context.io.get_executor()),
        silence_timer_(context.io.get_executor()) {
    ++context_.open;
  }
  ~Relay() { --context_.open; }
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  void Start() {
    caller_ = context_.edge.read_request(exchange_->request());
    table_ = context_.table();
    if (!table_) return Refuse(Errc::kNoConfiguration);
    const auto& request = exchange_->request();
    route_ = table_->Match(caller_.host, request.path);
    if (route_ == nullptr) return Refuse(Errc::kNotFound);
    if (!TakeKey()) return;
    Duration limit = caller_.remaining.value_or(kDefaultDeadline);
    if (route_->timeout > Duration::zero()) {
      limit = std::min(limit, route_->timeout);
    }
    if (limit <= Duration::zero()) return Refuse(Errc::kDeadlineInfeasible);
    deadline_ = arrival_ + limit;
    service_ = ChooseService(*route_, context_.random());
    const RoutedService* service = table_->Service(service_);
    batching_ = service != nullptr && service->engine.has_value();
    fingerprint_ = Fingerprint();
    if (context_.poison.Judge(fingerprint_, arrival_) ==
        PoisonVerdict::kQuarantined) {
      return Refuse(Errc::kQuarantined);
    }
    id_ = context_.placement.NextId();
    deadline_timer_.Arm(ceil<milliseconds>(limit), weak_from_this(),
                        &Relay::DeadlinePassed);
    exchange_->OnGone([self = weak_from_this()] {
      if (const auto relay = self.lock()) relay->CallerGone();
    });
    self_ = shared_from_this();
    AskPlace();
  }

 private:
  enum class Stage : std::uint8_t {
    kPlacing,
    kReserving,
    kSent,
    kStreaming,
    kOver
  };

  bool TakeKey() {
    if (!table_->document().needs_keys || route_->is_public) return true;
    const KeyHolder* holder = table_->Holder(caller_.key);
    if (holder == nullptr) {
      Refuse(caller_.key.empty() ? Errc::kMissingKey : Errc::kUnknownKey);
      return false;
    }
    account_ = holder->account;
    priority_ = holder->priority;
    return true;
  }

  std::uint64_t Fingerprint() const {
    const auto& request = exchange_->request();
    const auto hash = [](const std::string& text, std::uint64_t seed) {
      return XXH3_64bits_withSeed(text.data(), text.size(), seed);
    };
    return hash(request.body, hash(request.target, hash(account_.value, 0)));
  }

  // ---- Placing ----

  void AskPlace() {
    stage_ = Stage::kPlacing;
    PlaceJob job;
    job.id = id_;
    job.account = account_;
    job.domain = context_.domain;
    job.stream = StreamsFromEngine();
    job.prompt_tokens = caller_.prompt_tokens;
    job.output_tokens = caller_.max_output_tokens;
    job.priority = priority_.value_or(route_->priority);
    job.arrival = arrival_;
    job.deadline = deadline_;
    job.first_event_deadline = BeginBy();
    job.objective = route_->objective;
    job.max_gap = route_->max_gap;
    job.is_retry = progress_.tries > 0;
    job.excluded = excluded_;
    context_.placement.Place(service_, job,
                             [self = weak_from_this()](const PlaceDecision& v) {
                               if (const auto relay = self.lock()) {
                                 relay->Placed(v);
                               }
                             });
  }

  bool StreamsFromEngine() const {
    return route_->kind == RouteKind::kStream && batching_;
  }

  /// When the caller leaves if it gets no event, or when its answer, by the
  /// caller's own guess of its length, would not be whole by the deadline.
  Time BeginBy() const {
    const RoutedService* service = table_->Service(service_);
    Time by = deadline_;
    if (StreamsFromEngine() && !progress_.head_sent) {
      by -= WritingTime(
          *service->engine, caller_.prompt_tokens,
          std::min(caller_.likely_output_tokens, caller_.max_output_tokens));
    }
    if (route_->patience <= Duration::zero()) return by;
    const Time since = progress_.head_sent ? last_event_ : arrival_;
    return std::min(by, since + route_->patience);
  }

  void Placed(const PlaceDecision& verdict) {
    if (stage_ != Stage::kPlacing) return;
    if (const auto* refusal = std::get_if<PlaceRefusal>(&verdict)) {
      return NotPlaced(*refusal);
    }
    grant_ = std::get<PlaceGrant>(verdict);
    const Time now = Now();
    if (now >= deadline_) return DeadlinePassed();
    const KindKnown known =
        context_.targets_known ? context_.targets_known() : KindKnown{};
    LogLine(Severity::kInfo, Event::kPlaced)
        .With("request", caller_.id)
        .With("target", grant_.targets.front().name)
        .With("targets", std::uint64_t{grant_.targets.size()})
        .With("try", std::uint64_t{progress_.tries + 1})
        .With("waited", duration_cast<milliseconds>(now - arrival_))
        .With("estimate", duration_cast<milliseconds>(grant_.estimate))
        .With("holder", context_.placement.HolderOf(service_))
        .With("prompt_tokens", std::uint64_t{caller_.prompt_tokens})
        .With("entry_version", grant_.targets.front().version)
        .With("list_version", known.version)
        .With("list_age", duration_cast<milliseconds>(now - known.confirmed))
        .With("out_of_turns", std::uint64_t{grant_.out_of_permits});
    Reserve();
  }

  /// Has memory set aside where the grant says so, then sends the request.
  void Reserve() {
    std::vector<Reservation> wanted;
    for (std::size_t i = 1; i < grant_.targets.size(); ++i) {
      const auto& target = grant_.targets[i];
      if (target.reserve_tokens == 0) continue;
      wanted.push_back(
          {target, ToString(AttemptId{id_, ++reservations_made_})});
    }
    if (wanted.empty()) return Send(Now());
    stage_ = Stage::kReserving;
    wanted_ = wanted;
    reservations_ = std::make_unique<Reservations>(
        context_.io, context_.client, context_.edge, std::move(wanted),
        [self = weak_from_this()](const PlacedTarget& target,
                                  const TargetHead& told) {
          if (const auto relay = self.lock()) relay->NoteWord(target, told);
        });
    reservations_->Hold([self = weak_from_this()](const TargetName& refused) {
      const auto relay = self.lock();
      if (!relay || relay->stage_ != Stage::kReserving) return;
      relay->context_.metrics.Reserved(refused.value.empty());
      if (!refused.value.empty()) return relay->NotReserved(refused);
      relay->SendReserved();
    });
  }

  /// Sends the request unless a target closed meanwhile.
  void SendReserved() {
    const auto misfit = context_.placement.Misfit(grant_);
    if (misfit) return NotReserved(*misfit);
    Send(Now());
  }

  /// Nothing was sent: another set of targets is asked for.
  void NotReserved(const TargetName& refused) {
    EndReservations();
    context_.placement.Ended(id_, WorkEnd::kCancelled);
    excluded_.push_back(refused);
    AskPlace();
  }

  void EndReservations() {
    reservations_.reset();
    wanted_.clear();
  }

  void NotPlaced(const PlaceRefusal& refusal) {
    if (stored_answer_) return PassStoredAnswer();
    if (progress_.head_sent) return Cut(refusal.code);
    if (progress_.tries_run == 0) {
      return Fail(refusal.code, refusal.retry_after);
    }
    Fail(last_failure_, {});
  }

  // ---- A try at a target ----

  void Send(Time now) {
    if (++progress_.tries > 1) context_.metrics.Retried();
    context_.metrics.QueueWait(now - arrival_);
    try_begun_ = false;
    sent_ = false;
    head_ = {};
    answer_ = {};
    body_.clear();
    ForwardHead forward;
    forward.target = grant_.targets.front().name.value;
    forward.account = account_.value;
    forward.remaining = deadline_ - now;
    forward.urgency = std::min<int>(
        static_cast<int>(priority_.value_or(route_->priority)) + 1,
        kUrgencySteps);
    for (std::size_t i = 1; i < grant_.targets.size(); ++i) {
      const auto& target = grant_.targets[i];
      const auto held = std::find_if(wanted_.begin(), wanted_.end(),
                                     [&target](const Reservation& r) {
                                       return r.target.name == target.name;
                                     });
      forward.helpers.push_back(
          {target.address, held == wanted_.end() ? "" : held->id});
    }
    forward.last_event_id = splitter_.last_id().empty() ? caller_.last_event_id
                                                        : splitter_.last_id();
    stage_ = progress_.head_sent ? Stage::kStreaming : Stage::kSent;
    try_sent_ = now;
    http::CallOptions options;
    options.connect_timeout = kConnectTimeout;
    options.progress_timeout =
        ceil<milliseconds>(deadline_ - now) + std::chrono::seconds(1);
    if (!Repeatable(*route_)) options.idle_limit = kUnsafeIdleLimit;
    call_ = context_.client.Open(
        grant_.targets.front().address,
        context_.edge.write_request(exchange_->request(), forward), options,
        Hooks());
    if (Repeatable(*route_)) WatchSilence(false);
  }

  http::CallHooks Hooks() {
    const std::uint64_t number = ++try_number_;
    const auto guarded = [self = weak_from_this(), number](auto action) {
      const auto relay = self.lock();
      if (relay && relay->try_number_ == number &&
          relay->stage_ != Stage::kOver) {
        action(*relay);
      }
    };
    http::CallHooks hooks;
    hooks.on_sent = [guarded] {
      guarded([](Relay& relay) { relay.sent_ = true; });
    };
    hooks.is_mine = [guarded](const http::Response& head) {
      bool mine = true;
      guarded([&](Relay& relay) { mine = relay.IsMine(head); });
      return mine;
    };
    hooks.on_head = [guarded](const http::Response& head) {
      guarded([&head](Relay& relay) { relay.Head(head); });
    };
    hooks.on_body = [guarded](std::string_view bytes) {
      guarded([bytes](Relay& relay) { relay.Body(bytes); });
    };
    hooks.on_end = [guarded](http::CallEnd end) {
      guarded([end](Relay& relay) { relay.CallEnded(end); });
    };
    return hooks;
  }

  bool IsMine(const http::Response& head) const {
    const auto told = context_.edge.read_head(head);
    return told.request_id.empty() || told.request_id == caller_.id;
  }

  void Head(const http::Response& head) {
    head_ = context_.edge.read_head(head);
    answer_ = head;
    const bool success = head_.status >= 200 && head_.status < 300;
    streams_ = success && head_.authentic && head_.event_stream;
    NoteWord(grant_.targets.front(), head_);
    const bool names_limit = head_.limit || head_.limit_unreadable;
    if (success && head_.authentic && !names_limit) {
      context_.placement.ToldNoLimit(service_, grant_.targets.front(),
                                     try_sent_, caller_.id);
    }
    if (!batching_ || !streams_) context_.placement.Begun(id_);
  }

  /// What a target says of itself in an answer holds at once, before the rest
  /// of the answer came.
  void NoteWord(const PlacedTarget& target, const TargetHead& told) {
    if (told.leaving) {
      context_.target_left({target.name, target.born, target.version, {}},
                           caller_.id);
      // Another target answered at that address.
      if (told.wrong_target && told.at_fault != target.name.value) {
        context_.target_left({{told.at_fault}, 0, 0, target.address},
                             caller_.id);
      }
    }
    NoteLimit(target, told);
    if (!told.rest && !told.rest_unreadable) return;
    const Duration rest = told.rest.value_or(Duration::zero());
    LogLine(told.rest_unreadable ? Severity::kWarning : Severity::kInfo,
            Event::kTargetRests)
        .With("request", caller_.id)
        .With("target", target.name)
        .With("born", target.born)
        .With("rest", duration_cast<milliseconds>(rest))
        .With("unreadable", told.rest_unreadable);
    context_.placement.ToldRest(service_, target, rest);
  }

  void NoteLimit(const PlacedTarget& target, const TargetHead& told) {
    if (told.limit_unreadable) {
      LogLine(Severity::kWarning, Event::kTargetLimited)
          .With("request", caller_.id)
          .With("service", service_)
          .With("target", target.name)
          .With("born", target.born)
          .With("unreadable", true);
    }
    if (!told.limit) return;
    const bool other = told.wrong_target && !told.at_fault.empty() &&
                       told.at_fault != target.name.value;
    if (!other) {
      return context_.placement.ToldLimit(service_, target, *told.limit,
                                          caller_.id);
    }
    // Another target answered at that address.
    const auto listed =
        context_.placement.Listed({told.at_fault}, target.address);
    if (!listed) return;
    context_.placement.ToldLimit(listed->service, listed->target, *told.limit,
                                 caller_.id);
  }

  void Body(std::string_view bytes) {
    if (!streams_) return PlainBody(bytes);
    const std::string events = splitter_.Feed(bytes);
    if (!events.empty()) TakeEvents(events);
    if (splitter_.too_long()) {
      TryFailed(WorkEnd::kGarbled, Errc::kTargetFailed);
    }
  }

  void PlainBody(std::string_view bytes) {
    if (progress_.head_sent) return exchange_->Write(std::string(bytes));
    body_ += bytes;
    if (body_.size() <= kWholeAnswerBytes) return;
    const bool own = head_.authentic && head_.request_id == caller_.id &&
                     !head_.told_not_run;
    if (!own) return TryFailed(WorkEnd::kGarbled, Errc::kTargetFailed);
    PassLargeAnswer();
  }

  void TakeEvents(const std::string& events) {
    NotePause();
    if (!try_begun_) {
      try_begun_ = true;
      context_.placement.Begun(id_);
    }
    WatchSilence(true);
    PassEvents(events);
  }

  node::LengthClass Length() const {
    return node::ClassOf(caller_.prompt_tokens);
  }

  void NotePause() {
    const Time now = Now();
    if (progress_.head_sent) {
      context_.metrics.BetweenTokens(Length(), now - last_event_);
    }
    longest_pause_ = progress_.head_sent
                         ? std::max(longest_pause_, now - last_event_)
                         : Duration::zero();
    last_event_ = now;
  }

  void PassEvents(const std::string& events) {
    if (!progress_.head_sent) {
      progress_.head_sent = true;
      stage_ = Stage::kStreaming;
      first_event_ = Now() - arrival_;
      context_.metrics.FirstToken(Length(), first_event_);
      exchange_->StartStream(context_.edge.write_head(answer_));
    }
    exchange_->Write(events);
  }

  /// An answer too large to keep is passed on as it comes.
  void PassLargeAnswer() {
    progress_.head_sent = true;
    stage_ = Stage::kStreaming;
    exchange_->StartStream(context_.edge.write_head(answer_));
    exchange_->Write(std::exchange(body_, {}));
  }

  void CallEnded(const http::CallEnd& end) {
    call_.reset();
    if (end.code != Errc::kOk) return TryFailed(EndOf(end.code), end.code);
    if (streams_) return StreamWhole();
    AnswerWhole();
  }

  static WorkEnd EndOf(Errc code) {
    switch (code) {
      case Errc::kTargetUnreachable:
        return WorkEnd::kUnreachable;
      case Errc::kTargetSilent:
        return WorkEnd::kTimedOut;
      default:
        return WorkEnd::kBroken;
    }
  }

  void StreamWhole() {
    if (!splitter_.ends_whole() || !progress_.head_sent) {
      return TryFailed(WorkEnd::kGarbled, Errc::kTargetFailed);
    }
    std::string comments = splitter_.TakeRest();
    if (!comments.empty()) exchange_->Write(std::move(comments));
    context_.placement.Ended(id_, WorkEnd::kDone);
    exchange_->End();
    Over(Errc::kOk);
  }

  void AnswerWhole() {
    if (head_.told_not_run || head_.wrong_target) {
      return TryFailed(
          head_.wrong_target ? WorkEnd::kWrongTarget : WorkEnd::kRefused,
          Errc::kTargetRefused);
    }
    const bool success = head_.status >= 200 && head_.status < 300;
    if (success && (!head_.authentic || head_.request_id != caller_.id)) {
      return TryFailed(WorkEnd::kGarbled, Errc::kTargetFailed);
    }
    if (head_.status >= kServerErrors) {
      if (progress_.head_sent) {
        return TryFailed(WorkEnd::kTargetError, Errc::kTargetFailed);
      }
      if (head_.authentic) {
        stored_answer_ = context_.edge.write_head(answer_);
        stored_answer_->body = std::move(body_);
      }
      return TryFailed(WorkEnd::kTargetError, Errc::kTargetFailed);
    }
    if (progress_.head_sent) {
      context_.placement.Ended(id_, WorkEnd::kDone);
      exchange_->End();
      return Over(Errc::kOk);
    }
    context_.placement.Ended(id_, WorkEnd::kDone);
    context_.metrics.Answered(Repeatable(*route_), Now() - arrival_);
    http::Response answer = context_.edge.write_head(answer_);
    answer.body = std::move(body_);
    exchange_->Respond(std::move(answer));
    Over(Errc::kOk);
  }

  void TryFailed(WorkEnd end, Errc code) {
    if (call_) call_->Cancel();
    call_.reset();
    EndReservations();
    ++try_number_;
    silence_timer_.Disarm();
    TryFailure failure;
    failure.sent = sent_;
    failure.told_not_run =
        end == WorkEnd::kRefused || end == WorkEnd::kWrongTarget;
    failure.may_resume = Repeatable(*route_) && route_->resumable &&
                         (!progress_.head_sent || !splitter_.last_id().empty());
    if (failure.sent && !failure.told_not_run) ++progress_.tries_run;
    if (failure.told_not_run || !failure.sent) code = Errc::kTargetRefused;
    last_failure_ = code;
    progress_.remaining = deadline_ - Now();
    splitter_.DropRest();
    NoteCrash(end);
    const NextStep next = AfterFailure(*route_, failure, progress_);
    cause_ = CauseOf(failure);
    LogLine(Severity::kWarning, Event::kTryFailed)
        .With("request", caller_.id)
        .With("target", grant_.targets.front().name)
        .With("cause", cause_)
        .With("end", ToString(end))
        .With("status", static_cast<std::uint64_t>(std::max(0, head_.status)))
        .With("sent", sent_)
        .With("not_run", failure.told_not_run)
        .With("head_sent", progress_.head_sent)
        .With("try", std::uint64_t{progress_.tries})
        .With("next", static_cast<std::uint64_t>(next));
    context_.placement.Ended(id_, end, cause_);
    Follow(next, code);
  }

  /// The target of the grant that a refusal names, else the first.
  TargetName CauseOf(const TryFailure& failure) const {
    if (failure.told_not_run) {
      for (const auto& target : grant_.targets) {
        if (target.name.value == head_.at_fault) return target.name;
      }
    }
    return grant_.targets.front().name;
  }

  void NoteCrash(WorkEnd end) {
    const Time now = Now();
    const bool crashed = end == WorkEnd::kBroken && sent_;
    if (!crashed) return;
    const CrashEvidence evidence{fingerprint_, grant_.targets.front().name};
    if (context_.poison.Heard(evidence, now)) context_.share_crash(evidence);
  }

  void Follow(NextStep next, Errc code) {
    switch (next) {
      case NextStep::kTryAgain:
        if (context_.poison.Judge(fingerprint_, Now()) ==
            PoisonVerdict::kQuarantined) {
          return progress_.head_sent ? Cut(code) : Fail(code, {});
        }
        excluded_.push_back(cause_);
        return AskPlace();
      case NextStep::kAnswerNotRun:
        return Fail(Errc::kTargetRefused, {});
      case NextStep::kAnswerFailed:
        if (stored_answer_) return PassStoredAnswer();
        return Fail(code, {});
      case NextStep::kCut:
        return Cut(code);
    }
  }

  // ---- Time ----

  void WatchSilence(bool begun) {
    const Duration limit = SilenceLimit(*route_, begun, grant_.estimate);
    silence_timer_.Arm(ceil<milliseconds>(limit), weak_from_this(),
                       &Relay::TargetSilent);
  }

  void TargetSilent() {
    if (stage_ != Stage::kSent && stage_ != Stage::kStreaming) return;
    if (!call_) return;
    TryFailed(WorkEnd::kTimedOut, Errc::kTargetSilent);
  }

  void DeadlinePassed() {
    if (stage_ == Stage::kOver) return;
    const bool in_try = call_ != nullptr;
    if (in_try) {
      call_->Cancel();
      call_.reset();
      if (sent_) ++progress_.tries_run;
    }
    if (stage_ == Stage::kPlacing || stage_ == Stage::kReserving || in_try) {
      context_.placement.Ended(id_, WorkEnd::kCancelled);
    }
    if (progress_.head_sent) return Cut(Errc::kDeadlineExceeded);
    if (stored_answer_) return PassStoredAnswer();
    Fail(progress_.tries_run == 0 ? Errc::kQueueTimeout
                                  : Errc::kDeadlineExceeded,
         {});
  }

  void CallerGone() {
    if (stage_ == Stage::kOver) return;
    if (call_) call_->Cancel();
    call_.reset();
    context_.placement.Ended(id_, WorkEnd::kCancelled);
    Over(Errc::kCancelled);
  }

  // ---- Ends ----

  /// Before the request was admitted.
  void Refuse(Errc code) {
    exchange_->Respond(
        context_.edge.write_failure(code, RetryAfter(code), caller_.id));
    Over(code);
  }

  /// A host without configuration waits for the store; its callers come back
  /// later, and not all at once.
  Duration RetryAfter(Errc code) {
    if (code != Errc::kNoConfiguration) return {};
    std::uniform_int_distribution<Duration::rep> spread(
        kNoConfigurationRetry.count(), 2 * kNoConfigurationRetry.count());
    return Duration(spread(context_.random));
  }

  /// Only codes whose status is a promise when nothing ran.
  void Fail(Errc code, Duration retry_after) {
    const bool promise = Info(code).outcome == Outcome::kNotRun;
    if (progress_.tries_run > 0 && promise) code = Errc::kTargetFailed;
    exchange_->Respond(
        context_.edge.write_failure(code, retry_after, caller_.id));
    Over(code);
  }

  void PassStoredAnswer() {
    exchange_->Respond(std::move(*stored_answer_));
    Over(Errc::kTargetFailed);
  }

  void Cut(Errc code) {
    exchange_->Abort();
    Over(code);
  }

  void Over(Errc code) {
    stage_ = Stage::kOver;
    EndReservations();
    ++try_number_;
    deadline_timer_.Cancel();
    silence_timer_.Cancel();
    context_.metrics.Finished(code);
    const auto severity =
        code == Errc::kOk ? Severity::kInfo : Severity::kWarning;
    LogLine(severity, Event::kRequestEnded)
        .With("request", caller_.id)
        .With("route", route_ != nullptr ? route_->name : std::string())
        .With("service", service_)
        .With("version", table_ ? table_->document().version : 0)
        .With("account", account_)
        .With(code)
        .With("prompt_tokens", std::uint64_t{caller_.prompt_tokens})
        .With("tries", std::uint64_t{progress_.tries})
        .With("ran", std::uint64_t{progress_.tries_run})
        .With("events", std::uint64_t{splitter_.events()})
        .With("first_event", duration_cast<milliseconds>(first_event_))
        .With("longest_pause", duration_cast<milliseconds>(longest_pause_))
        .With("took", duration_cast<milliseconds>(Now() - arrival_));
    exchange_.reset();
    self_.reset();
  }

  RelayContext& context_;
  http::ExchangePtr exchange_;
  std::shared_ptr<Relay> self_;  ///< Until the final answer.
  CallerRequest caller_;
  std::shared_ptr<const RouteTable> table_;
  const Route* route_ = nullptr;  ///< In `table_`.
  AccountName account_;
  std::optional<std::uint32_t> priority_;
  ServiceName service_;
  bool batching_ = false;  ///< The service's targets are engines.
  std::uint64_t fingerprint_ = 0;
  RequestId id_;
  const Time arrival_;
  Time deadline_;
  Duration first_event_{};
  Duration longest_pause_{};  ///< Between events that the caller got.
  Time last_event_;
  http::detail::LazyTimer deadline_timer_;
  http::detail::LazyTimer silence_timer_;
  Stage stage_ = Stage::kPlacing;
  RelayProgress progress_;
  std::vector<TargetName> excluded_;
  Errc last_failure_ = Errc::kTargetFailed;
  /// A target's own failure, passed on when no other try does better.
  std::optional<http::Response> stored_answer_;

  // The try under way.
  PlaceGrant grant_;
  std::unique_ptr<Reservations> reservations_;
  std::vector<Reservation> wanted_;  ///< Those of `reservations_`.
  std::uint32_t reservations_made_ = 0;
  std::shared_ptr<http::Call> call_;
  std::uint64_t try_number_ = 0;  ///< Hooks of older tries do nothing.
  Time try_sent_;
  bool sent_ = false;
  bool try_begun_ = false;
  bool streams_ = false;
  TargetName cause_;  ///< Of the last failure.
  TargetHead head_;
  http::Response answer_;
  std::string body_;
  EventSplitter splitter_;
};

}  // namespace

void StartRelay(RelayContext& context, http::ExchangePtr exchange) {
  std::make_shared<Relay>(context, std::move(exchange))->Start();
}

}  // namespace comfreyflow::gateway
